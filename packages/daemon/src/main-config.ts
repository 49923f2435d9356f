import { configCommand } from './config-command.js';

void configCommand().parseAsync();
