// A job that fits one machine alone fails there while the machine fails every task for some seconds; then all is sound.
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { TROUBLE, World, job, runCase, sleep } from '../stand-ins-2/world.mjs';

const TROUBLE_MS = 5_000;
const CALM_MS = 90_000;
const standing = [{ build: 'ozols', yard: 'riga-east' }, { build: 'rudzis', yard: 'riga-port' }, { build: 'rudzis', yard: 'jelgava' }];

const world = new World({ directory: path.dirname(fileURLToPath(import.meta.url)), standing, capacity: { ozols: 1, rudzis: 2 } });
let isFaulty = false;
world.failsTasks = (worker) => isFaulty && worker.machine.build === 'ozols';

/** The phase of a job, "done" within the time or the last one seen. */
async function phaseWithin(id, ms) {
  let phase = null;
  await world.waitFor(`${id} is done`, ms, async () => {
    const answer = await world.poll(id);
    phase = answer.body?.phase ?? phase;
    return phase === 'done';
  });
  return phase;
}

await runCase(world, async () => {
  const fields = { pieces: 1, cpus: 8, memGb: 8, guessS: 2, dueS: null, loaners: false, builds: ['ozols'], yard: 'riga-east' };
  await world.submit(job('wk-000001', fields), 2);
  if ((await phaseWithin('wk-000001', 20_000)) !== 'done') return { broken: null, why: 'the machine does not run jobs' };

  isFaulty = TROUBLE;
  const faultyFrom = performance.now();
  const { status } = await world.submit(job('wk-000002', fields), 2);
  if (status !== 201) return { broken: null, why: 'the job was not accepted', status };
  await sleep(TROUBLE_MS - (performance.now() - faultyFrom));
  isFaulty = false;
  world.record('the machine is sound again');
  const calmFrom = performance.now();
  const startsBefore = world.starts;
  // The machine runs whatever else is sent there, and is empty otherwise.
  const others = [];
  for (let index = 0; performance.now() - calmFrom < CALM_MS && others.length < 4; index += 1) {
    const id = `wk-00001${index}`;
    await world.submit(job(id, { ...fields, crew: 'patient-app' }), 2);
    others.push(await phaseWithin(id, 15_000));
    await sleep(5000);
  }
  const phase = await phaseWithin('wk-000002', Math.max(0, CALM_MS - (performance.now() - calmFrom)));
  const seconds = Math.round((performance.now() - calmFrom) / 1000);
  if (others.some((other) => other !== 'done')) return { broken: null, why: 'other jobs are not done either', others, phase };
  return { broken: phase !== 'done', phase, calmSeconds: seconds, others, startsInTheCalm: world.starts - startsBefore };
});
