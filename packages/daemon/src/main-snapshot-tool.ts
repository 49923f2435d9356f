/**
 * The operators' command for snapshots (`target/snapshot-tool.js`, and `target/shelf.js` as its former name).
 *
 * @module
 */
import { runProgram } from './command-line.js';
import { snapshotToolCommand } from './snapshot-tool-command.js';

runProgram(snapshotToolCommand());
