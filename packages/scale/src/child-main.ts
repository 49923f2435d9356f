/**
 * Entry point of the helper processes of a load test: the key-value store, the cloud, workers and users.
 *
 * @module
 */
import { Meter } from './meter.js';
import { runCloud } from './cloud-server.js';
import type { Role } from './messages.js';
import { runStore } from './store-server.js';
import { runUsers } from './users.js';
import { runWorkers } from './worker-host.js';

/** Runs this process in the role that its only argument states as JSON. */
async function main(): Promise<void> {
  const role = JSON.parse(process.argv[2] ?? 'null') as Role;
  const meter = new Meter();
  switch (role.role) {
    case 'state':
      return runStore(role, meter);
    case 'cloud':
      return runCloud(role, meter);
    case 'workers':
      return runWorkers(role, meter);
    case 'users':
      runUsers(role, meter);
  }
}

main().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`);
  process.exit(1);
});
