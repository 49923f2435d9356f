import { runDaemon } from './daemon.js';

runDaemon(null);
