// A machine fails every task that it starts for a while; afterwards a job that fits no other machine waits for ever.
import { Cluster, KALNSVILKS } from '../lib/cluster.mjs';
import { User, submission } from '../lib/users.mjs';
import { sleep } from '../lib/util.mjs';

const WITH_TROUBLE = process.env.TROUBLE !== '0';
const MAX_WAIT_S = 90;

const cluster = new Cluster(KALNSVILKS, { record: new URL('record.txt', import.meta.url), keepLogs: process.env.KEEP === '1' });
let code = 2;
try {
  await cluster.prepare();
  let worker = null;
  // New machines are up within two seconds.
  cluster.cloud.bootMs = () => 1500;
  cluster.cloud.onMachine = (started) => {
    if (worker === null && started.machine.build === 'ozols') worker = started;
    if (WITH_TROUBLE && started === worker) {
      started.isSick = true;
      cluster.note('machine fails every task from now on', { rig: started.id });
    }
  };
  let starts = 0;
  let doneAt = null;
  cluster.listeners.push(({ event, t }) => {
    if (event === 'start') starts += 1;
    if (event === 'done') doneAt ??= t;
  });
  for (let n = 0; n < 3; n += 1) cluster.startNode(n);
  if (!(await cluster.waitReady())) throw new Error('the controllers did not become ready');
  const user = new User(cluster);
  // 32 CPUs of one zone, no spot machine: of these the site has one, an ozols in jelgava.
  const spec = submission('wk-000412', { builds: ['ozols'], yard: 'jelgava', cpus: 32.0, memGb: 64.0, guessS: 5.0 });
  const status = await user.submit(spec, 5);
  if (status !== 201 && status !== 200) throw new Error(`the submission got ${status}`);
  // The trouble ends two seconds after the first start.
  const startBy = cluster.elapsedS + 20;
  while (starts === 0 && cluster.elapsedS < startBy) await sleep(50);
  if (starts === 0) throw new Error('the task was not started at all');
  await sleep(2000);
  for (const { worker: each } of cluster.cloud.machines.values()) if (each !== undefined) each.isSick = false;
  const overAt = cluster.elapsedS;
  cluster.note('troubles are over', { rig: worker.id });
  let waitedS = 0;
  let phase = null;
  let lastPollAt = -Infinity;
  // Counted only while a machine that fits is up and empty.
  let roomSince = null;
  while (cluster.elapsedS < 117 && doneAt === null && waitedS <= MAX_WAIT_S) {
    await sleep(100);
    const isFree = [...cluster.cloud.machines.values()].some(
      ({ build, yard, loaners, isGone, worker: each }) =>
        build === 'ozols' && yard === 'jelgava' && !loaners && !isGone && each !== undefined && each.isAlive &&
        [...each.tasks.values()].every(({ phase: state }) => state === 'exited'),
    );
    if (!isFree) roomSince = null;
    else roomSince ??= cluster.elapsedS;
    waitedS = roomSince === null ? 0 : cluster.elapsedS - Math.max(roomSince, overAt);
    if (cluster.elapsedS - lastPollAt < 5) continue;
    lastPollAt = cluster.elapsedS;
    phase = (await user.poll(spec.nameId))?.body?.phase ?? phase;
  }
  const isBroken = doneAt === null && waitedS > MAX_WAIT_S;
  code = isBroken ? 1 : doneAt === null ? 2 : 0;
  cluster.note('result', { rule: 'left waiting', broken: isBroken, waitedS: Number(waitedS.toFixed(1)), phase, doneAt, starts });
} catch (error) {
  cluster.note('result', { error: String(error) });
  console.error(String(error));
} finally {
  await cluster.stop();
}
process.exit(code);
