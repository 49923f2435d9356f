// A gang with many tasks is submitted to a deployment that can hold it; users go on submitting small jobs and asking.
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { TROUBLE, World, job, runCase, sleep } from '../stand-ins-2/world.mjs';

const OBSERVE_MS = 75_000;
const PIECES = Number(process.env.PIECES ?? 60_000);
/** A controller that answers no health probe for this long stands still: the load balancer resets its users after 5 s. */
const STANDSTILL_MS = 15_000;
const GANG_CPUS = 320;
const zones = ['riga-east', 'riga-port', 'jelgava'];
const standing = Array.from({ length: 12 }, (_, index) => ({ build: 'ozols', yard: zones[index % 3] }));

const world = new World({ directory: process.env.DIR ?? path.dirname(fileURLToPath(import.meta.url)), standing, capacity: { ozols: 12 } });

await runCase(world, async () => {
  await world.submit(job('wk-000001', { pieces: 3 }), 5);
  const isWarm = await world.waitFor('the first job is done', 25_000, async () => (await world.poll('wk-000001')).body?.phase === 'done');
  if (!isWarm) return { broken: null, why: 'the deployment does not run jobs' };

  // All tasks together take 320 CPUs and 800 GB; the machines have 384 and 1,536, the team may use 336.
  const pieces = TROUBLE ? PIECES : 80;
  const gang = job('wk-000002', { shape: 'ensemble', pieces, cpus: GANG_CPUS / pieces, memGb: 800 / pieces, dueS: null });
  const accepted = await world.submit(gang, 10);
  if (accepted.status !== 201 && accepted.status !== 200) return { broken: null, why: 'the gang was not accepted', status: accepted.status };

  const from = performance.now();
  const probes = world.controllers.map(() => ({ sent: 0, unanswered: 0, answeredAt: performance.now(), longestMs: 0 }));
  const polls = { sent: 0, unanswered: 0 };
  const leaders = new Set();
  const probe = async (controller, state) => {
    while (performance.now() - from < OBSERVE_MS) {
      const { status } = await world.call(controller, 'GET', '/up', undefined, 1000);
      const at = performance.now();
      state.sent += 1;
      if (status === 0) state.unanswered += 1;
      else state.answeredAt = at;
      state.longestMs = Math.max(state.longestMs, at - state.answeredAt);
      world.record('probe', { label: controller.label, status });
      leaders.add(world.state.keys.get('leader')?.stamp ?? 0);
      await sleep(1000);
    }
  };
  const ask = async () => {
    while (performance.now() - from < OBSERVE_MS) {
      const answer = await world.poll('wk-000002');
      polls.sent += 1;
      if (answer.status !== 200) polls.unanswered += 1;
      world.record('poll', { status: answer.status, body: answer.body });
      await sleep(1000);
    }
  };
  await Promise.all([ask(), ...world.controllers.map((controller, index) => probe(controller, probes[index]))]);
  const gangStarts = [...world.on.keys()].filter((piece) => piece.startsWith('wk-000002/')).length;
  const standstills = probes.filter(({ longestMs }) => longestMs >= STANDSTILL_MS).length;
  return {
    broken: standstills >= 2 && gangStarts === 0,
    pieces, gangStarts, polls, leaders: leaders.size,
    probes: probes.map(({ sent, unanswered, longestMs }) => ({ sent, unanswered, longestS: Math.round(longestMs / 1000) })),
  };
});
