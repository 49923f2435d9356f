/**
 * The controller node without extensions (`target/main.js`).
 *
 * @module
 */
import { runDaemon } from './daemon.js';

runDaemon(null);
