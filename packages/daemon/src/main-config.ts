/**
 * The operators' command for the configuration of a running deployment (`target/config.js`).
 *
 * @module
 */
import { configCommand } from './config-command.js';

void configCommand().parseAsync();
