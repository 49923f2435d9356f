// A controller that doesn't lead is back within a fraction of a second, and a direct command that was carried out and
// answered arrives once more. By then the worker was told to forget the attempt that the command starts.
import http from 'node:http';
import { Cluster, KALNSVILKS_FLEET } from '../lib/cluster.mjs';
import { User, submission } from '../lib/users.mjs';
import { call, sleep } from '../lib/util.mjs';

const WITH_TROUBLE = process.env.TROUBLE !== '0';
/** The copy arrives this long after the original. */
const COPY_AFTER_MS = 15_000;

const cluster = new Cluster(KALNSVILKS_FLEET, { record: new URL('record.txt', import.meta.url), keepLogs: process.env.KEEP === '1' });
const machinesOf = new Map(); // piece -> names of the machines that it is on
const broken = [];
cluster.listeners.push(({ event, piece, rig, try: attempt, t }) => {
  if (event === 'on') {
    const rigs = machinesOf.get(piece) ?? new Set();
    machinesOf.set(piece, rigs);
    if (rigs.size > 0) {
      broken.push({ rule: 'ran_twice', t, piece, rig, try: attempt, alsoOn: [...rigs] });
      cluster.note('rule broken', broken.at(-1));
    }
    rigs.add(rig);
  } else if (event === 'off') machinesOf.get(piece).delete(rig);
});

async function until(condition, what, timeoutS = 25) {
  const end = cluster.elapsedS + timeoutS;
  while (!condition()) {
    if (cluster.elapsedS > end) throw new Error(`${what}: not within ${timeoutS} s`);
    await sleep(50);
  }
}

let code = 2;
try {
  await cluster.prepare();
  cluster.cloud.bootMs = () => 1500;
  for (let n = 0; n < 3; n += 1) cluster.startNode(n);
  if (!(await cluster.waitReady())) throw new Error('the controllers did not become ready');

  // A batch task of the lowest priority runs on the ozols of one zone. Its start is a direct command, answered with 200.
  const batch = submission('wk-000412', { rank: 'idle', builds: ['ozols'], cpus: 32.0, memGb: 64.0, guessS: 60.0 });
  const piece = `${batch.nameId}/0`;
  let original = null;
  cluster.cloud.onMachine = (worker) => {
    worker.onCommandsAnswered = (body, answeredStatus) => {
      const isStart = body.orders.some((order) => order.verb === 'start' && order.piece === piece);
      if (original !== null || !isStart || answeredStatus !== 200) return;
      original = { worker, body, at: performance.now() };
      cluster.note('direct start carried out and answered', { rig: worker.id, baton: body.baton, shift: body.shift, orders: body.orders });
    };
  };
  const user = new User(cluster);
  if (![200, 201].includes(await user.submit(batch, 80))) throw new Error('the batch job was not accepted');
  await until(() => machinesOf.get(piece)?.size === 1, 'the batch task runs');
  const [first] = machinesOf.get(piece);
  const { yard } = cluster.cloud.machines.get(first);
  await sleep(1500);

  // A service of the highest priority needs the same machine: the batch task is stopped and goes on in another zone.
  const service = submission('wk-000077', { lot: 'physio-portal', crew: 'patient-app', shape: 'daemon', rank: 'critical', builds: ['ozols'], yard, cpus: 32.0, memGb: 64.0, guessS: 0.0, kit: 'img-02', pullGb: 0.1 });
  if (![200, 201].includes(await user.submit(service, 0))) throw new Error('the service was not accepted');
  await until(() => machinesOf.get(piece).size === 1 && !machinesOf.get(piece).has(first), 'the batch task runs elsewhere');
  await until(() => ![...original.worker.tasks.values()].some((task) => task.piece === piece), 'the first attempt is forgotten');
  cluster.note('first attempt forgotten', { rig: first });
  if ((await user.cancel(service.nameId)) !== 'cancelled') throw new Error('the service was not cancelled');

  const copyAt = original.at + COPY_AFTER_MS;
  if (performance.now() > copyAt) throw new Error('the preparation took too long');
  await sleep(copyAt - performance.now() - 1000);
  if (WITH_TROUBLE) await cluster.restart((cluster.leader() + 1) % cluster.count, 300);
  await sleep(Math.max(0, copyAt - performance.now()));
  if (WITH_TROUBLE) {
    cluster.note('the request arrives once more', { rig: first, baton: original.body.baton, shift: original.body.shift });
    const port = Number(original.worker.address.split(':')[1]);
    const answer = await call(new http.Agent(), port, 'POST', '/commands', original.body, 4000);
    cluster.note('answer to the copy, which nobody reads', { status: answer?.status ?? null });
  }
  await sleep(10_000);
  cluster.note('result', { rule: 'ran_twice', broken });
  code = broken.length > 0 ? 1 : 0;
} catch (error) {
  cluster.note('result', { error: String(error) });
  console.error(String(error));
} finally {
  await cluster.stop();
}
process.exit(code);
