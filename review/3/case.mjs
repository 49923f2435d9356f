// A machine doesn't hear the controllers for some seconds, and the leader ends. A service that was to follow a less urgent
// one on that machine is never started by the next leader, wherever there is room.
import { Cluster, KALNSVILKS } from '../lib/cluster.mjs';
import { User, submission } from '../lib/users.mjs';
import { sleep } from '../lib/util.mjs';

const WITH_TROUBLE = process.env.TROUBLE !== '0';
const MAX_WAIT_S = 90;
/** How long the machine doesn't hear; less than half of its lease. */
const DEAF_MS = 9000;

const cluster = new Cluster(KALNSVILKS, { record: new URL('record.txt', import.meta.url), keepLogs: process.env.KEEP === '1' });
const onMachines = new Map(); // job -> number of its tasks that are on a machine
cluster.listeners.push(({ event, job }) => {
  if (event === 'on') onMachines.set(job, (onMachines.get(job) ?? 0) + 1);
  if (event === 'off') onMachines.set(job, onMachines.get(job) - 1);
});

async function until(condition, what, timeoutS = 25) {
  const end = cluster.elapsedS + timeoutS;
  while (!condition()) {
    if (cluster.elapsedS > end) throw new Error(`${what}: not within ${timeoutS} s`);
    await sleep(20);
  }
}

let code = 2;
try {
  await cluster.prepare();
  cluster.cloud.bootMs = () => 1500;
  for (let n = 0; n < 3; n += 1) cluster.startNode(n);
  if (!(await cluster.waitReady())) throw new Error('the controllers did not become ready');
  const submit = async (spec, runS) => {
    const status = await new User(cluster).submit(spec, runS);
    if (status !== 200 && status !== 201) throw new Error(`${spec.nameId}: ${status}`);
  };

  // The site has one ozols a zone that is no spot machine. One of them runs a service of the lowest priority. The others run
  // a small service each, and for ten seconds a batch task of the highest priority.
  const daemon = { lot: 'physio-portal', crew: 'patient-app', shape: 'daemon', guessS: 0.0, builds: ['ozols'], kit: 'img-02', pullGb: 0.1 };
  const low = submission('wk-000100', { ...daemon, rank: 'idle', yard: 'jelgava', cpus: 31.0, memGb: 60.0 });
  const kept = ['riga-east', 'riga-port'].map((yard, n) =>
    submission(`wk-00011${n}`, { ...daemon, rank: 'critical', yard, cpus: 1.0, memGb: 2.0 }),
  );
  const batches = ['riga-east', 'riga-port'].map((yard, n) =>
    submission(`wk-00012${n}`, { rank: 'critical', builds: ['ozols'], yard, cpus: 31.0, memGb: 60.0, guessS: 20.0, kit: 'img-03', pullGb: 0.1 }),
  );
  await Promise.all([submit(low, 0), ...kept.map((spec) => submit(spec, 0)), ...batches.map((spec) => submit(spec, 10))]);
  await until(() => [low, ...kept, ...batches].every(({ nameId }) => onMachines.get(nameId) > 0), 'the first jobs run');
  const worker = [...cluster.cloud.machines.values()].find(({ build, yard }) => build === 'ozols' && yard === 'jelgava').worker;

  if (WITH_TROUBLE) {
    worker.isDeaf = true;
    cluster.note('reports of the machine arrive, answers and direct commands to it are lost', { rig: worker.id });
  }
  const deafUntil = performance.now() + DEAF_MS;
  // The urgent service fits any ozols. The only task that may make room for it is the one of the lowest priority.
  const urgent = submission('wk-000412', { ...daemon, rank: 'critical', cpus: 30.0, memGb: 40.0 });
  await submit(urgent, 0);
  const acceptedAt = cluster.elapsedS;
  if (WITH_TROUBLE) {
    await until(() => cluster.store.keys.has(`t/${urgent.nameId}/0`), 'the place of the urgent service is recorded', 5);
    await sleep(500);
    cluster.kill(cluster.leader());
    const ended = cluster.nodes.findIndex((node) => node.isKilled);
    setTimeout(() => {
      if (!cluster.isStopped) cluster.startNode(ended);
    }, cluster.site.restartDelayS * 1000);
    await sleep(deafUntil - performance.now());
    worker.isDeaf = false;
    cluster.note('the machine hears again', { rig: worker.id });
  }
  await until(() => cluster.leader() >= 0, 'there is a leader');
  const overAt = cluster.elapsedS;
  let roomSince = null;
  let lastPollAt = -Infinity;
  let phase = null;
  let waitedS = 0;
  const user = new User(cluster);
  while (!(onMachines.get(urgent.nameId) > 0) && waitedS <= MAX_WAIT_S && cluster.elapsedS < 116.5) {
    await sleep(100);
    const rooms = [...cluster.cloud.machines.values()].filter(({ build, loaners, isGone, worker: each, type }) => {
      if (build !== 'ozols' || loaners || isGone || each?.isAlive !== true) return false;
      const specs = [...each.tasks.values()].filter((task) => task.phase !== 'exited').map((task) => cluster.jobs.get(task.job).spec);
      const sum = (amount) => specs.reduce((total, spec) => total + amount(spec), 0);
      return sum((spec) => spec.cpus) + urgent.cpus <= type.cpus && sum((spec) => spec.memGb) + urgent.memGb <= type.memGb;
    });
    if (rooms.length === 0) roomSince = null;
    else roomSince ??= cluster.elapsedS;
    waitedS = roomSince === null ? 0 : cluster.elapsedS - Math.max(roomSince, overAt);
    if (cluster.elapsedS - lastPollAt < 5) continue;
    lastPollAt = cluster.elapsedS;
    cluster.note('machines with room', { rigs: rooms.map(({ id }) => id) });
    const answer = await user.poll(urgent.nameId);
    if (answer === null) user.move();
    phase = answer?.body?.phase ?? phase;
  }
  const runs = onMachines.get(urgent.nameId) > 0;
  const isBroken = !runs && waitedS > MAX_WAIT_S;
  code = isBroken ? 1 : runs ? 0 : 2;
  cluster.note('result', { rule: 'left_waiting', broken: isBroken, waitedS: Number(waitedS.toFixed(1)), phase, startedAfterS: runs ? Number((cluster.elapsedS - acceptedAt).toFixed(1)) : null });
} catch (error) {
  cluster.note('result', { error: String(error) });
  console.error(String(error));
} finally {
  await cluster.stop();
}
process.exit(code);
