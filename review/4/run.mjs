// An array with checkpoints is preempted again and again for urgent services in one zone, while the answers to the reports
// of one machine arrive late.
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { TROUBLE, World, job, runCase, sleep } from '../stand-ins-2/world.mjs';

const ROUNDS = 16;
const LATE_MS = 800;
const standing = [{ build: 'ozols', yard: 'riga-east' }, { build: 'ozols', yard: 'riga-port' }];

const world = new World({ directory: path.dirname(fileURLToPath(import.meta.url)), standing, capacity: { ozols: 2 } });
// The workers list the tasks that are on the machine before those that have exited, as the example of the protocol does.
world.listsLiveFirst = true;
const isLate = (worker) => TROUBLE && worker.machine.yard === 'riga-east';
world.answerDelayMs = (worker) => (isLate(worker) ? LATE_MS : 0);

await runCase(world, async () => {
  await world.submit(job('wk-000001', { pieces: 3 }), 1);
  const isWarm = await world.waitFor('the first job is done', 25_000, async () => (await world.poll('wk-000001')).body?.phase === 'done');
  if (!isWarm) return { broken: null, why: 'the deployment does not run jobs' };
  // Most tasks take 3 s, every fourth 20 s.
  const array = job('wk-000002', { pieces: 256, cpus: 4, memGb: 4, bookmarkS: 30, stowS: 3, guessS: 5, dueS: null });
  await world.submit(array, (task) => (task % 4 === 0 ? 20 : 3));
  await sleep(3000);
  let ran = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    const id = `wk-0001${String(round).padStart(2, '0')}`;
    const service = job(id, { lot: 'physio-portal', crew: 'patient-app', shape: 'daemon', rank: 'critical', pieces: 1, cpus: 12, memGb: 6, guessS: 0, dueS: null, loaners: false, yard: 'riga-east' });
    await world.submit(service, 0);
    if (await world.waitFor('the service runs', 6000, async () => (await world.poll(id)).body?.phase === 'running')) ran += 1;
    await world.cancel(id);
    await sleep(100);
  }
  if (ran === 0) return { broken: null, why: 'no service ran' };
  const { body } = await world.poll('wk-000002');
  world.record('tasks that started on one machine while they were on another', world.ranTwice);
  return { broken: world.ranTwice.length > 0, ranTwice: world.ranTwice.length, first: world.ranTwice[0] ?? null, servicesThatRan: ran, starts: world.starts, array: body };
});
