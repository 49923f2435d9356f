import { Meter } from './child.js';
import { runCloud } from './cloud-server.js';
import type { Role } from './messages.js';
import { runStore } from './store-server.js';
import { runUsers } from './users.js';
import { runWorkers } from './worker-host.js';

/** A process of the scale run beside the controllers; its role is its only argument, as JSON. */
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

main().catch((e: unknown) => {
  process.stderr.write(`${e instanceof Error ? (e.stack ?? e.message) : String(e)}\n`);
  process.exit(1);
});
