// Jobs bound to one zone and one machine type whose owner gives the estimate in nanoseconds instead of seconds.
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { TROUBLE, World, job, runCase, sleep } from '../stand-ins-2/world.mjs';

const OBSERVE_MS = 40_000;
/** An hour, in nanoseconds or in seconds. */
const GUESS = TROUBLE ? 3.6e12 : 3600;
const zones = ['riga-east', 'riga-port', 'jelgava'];
const builds = ['ozols', 'rudzis'];
const standing = zones.flatMap((yard) => builds.flatMap((build) => [{ build, yard }, { build, yard }]));

const world = new World({ directory: path.dirname(fileURLToPath(import.meta.url)), standing, capacity: { ozols: 6, rudzis: 6 } });
const wrong = [];
const start = world.onStart.bind(world);
world.onStart = (worker, task) => {
  start(worker, task);
  const { yard, builds: allowed, loaners } = task.job.spec;
  const { machine } = worker;
  const isWrong = (yard !== null && yard !== machine.yard) || (allowed !== null && !allowed.includes(machine.build)) || (machine.loaners && !loaners);
  if (!isWrong) return;
  const found = { piece: task.piece, allowed: { yard, builds: allowed }, machine: { rig: machine.nameId, yard: machine.yard, build: machine.build } };
  wrong.push(found);
  world.record('wrong_place', found);
};

await runCase(world, async () => {
  await world.submit(job('wk-000001', { pieces: 3 }), 2);
  const isWarm = await world.waitFor('the first job is done', 25_000, async () => (await world.poll('wk-000001')).body?.phase === 'done');
  if (!isWarm) return { broken: null, why: 'the deployment does not run jobs' };
  const ids = [];
  for (let index = 0; index < 6; index += 1) {
    const id = `wk-00001${index}`;
    ids.push(id);
    const fields = { pieces: 8, cpus: 1, memGb: 1, guessS: GUESS, dueS: null, yard: zones[index % 3], builds: [builds[index % 2]] };
    const { status } = await world.submit(job(id, fields), 5);
    if (status !== 201) return { broken: null, why: 'a job was not accepted', status };
  }
  await sleep(OBSERVE_MS);
  const answers = [];
  for (const id of ids) answers.push((await world.poll(id)).body);
  world.record('answers', { answers });
  return { broken: wrong.length > 0, wrongStarts: wrong.length, starts: world.starts, first: wrong[0] ?? null, done: answers.filter((answer) => answer?.phase === 'done').length };
});
