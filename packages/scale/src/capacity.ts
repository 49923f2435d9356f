import { linearRegression, rSquared } from 'simple-statistics';
import { RUN_SETTINGS } from './controller-settings.js';
import { CAPACITY_PLAN } from './options.js';
import type { ScaleResult, StepResult } from './results.js';

/** What a figure grows with. */
type DriverName = 'starts/s' | 'workers' | 'tasks';

interface Metric {
  readonly role: string;
  readonly what: string;
  readonly of: (step: StepResult) => number;
  readonly driver: DriverName;
  /** What there is of it; null: nothing is set. */
  readonly limit: number | null;
  readonly digits: number;
}

const DRIVERS: Readonly<Record<DriverName, (step: StepResult) => number>> = {
  'starts/s': (s) => s.startsPerS,
  workers: (s) => s.workers,
  tasks: (s) => s.tasksOnLoneWorker,
};

/** What the letter lets a worker spend on control. */
const WORKER_LIMITS = { cores: 0.024, megabytes: 256, kilobytesPerS: 5 } as const;
/** One thread decides on each node. */
const CORES_OF_A_NODE = 1;
const MEMORY_MB = RUN_SETTINGS.resources.mem_mb;

const METRICS: readonly Metric[] = [
  {
    role: 'leader',
    what: 'cores',
    of: (s) => s.roles.leader.cpu,
    driver: 'starts/s',
    limit: CORES_OF_A_NODE,
    digits: 3,
  },
  {
    role: 'leader',
    what: 'cores in its busiest second',
    of: (s) => s.roles.leader.cpuPeak,
    driver: 'starts/s',
    limit: CORES_OF_A_NODE,
    digits: 3,
  },
  {
    role: 'leader',
    what: 'MB resident',
    of: (s) => s.roles.leader.residentMb,
    driver: 'workers',
    limit: MEMORY_MB,
    digits: 0,
  },
  {
    role: 'leader',
    what: 'sockets',
    of: (s) => s.roles.leader.sockets,
    driver: 'workers',
    limit: RUN_SETTINGS.resources.sockets,
    digits: 0,
  },
  {
    role: 'leader',
    what: 'KB/s in and out',
    of: (s) => s.roles.leader.kbInPerS + s.roles.leader.kbOutPerS,
    driver: 'starts/s',
    limit: null,
    digits: 0,
  },
  {
    role: 'other node',
    what: 'cores',
    of: (s) => s.roles.node.cpu,
    driver: 'starts/s',
    limit: CORES_OF_A_NODE,
    digits: 3,
  },
  {
    role: 'other node',
    what: 'MB resident',
    of: (s) => s.roles.node.residentMb,
    driver: 'workers',
    limit: MEMORY_MB,
    digits: 0,
  },
  {
    role: 'other node',
    what: 'KB/s in and out',
    of: (s) => s.roles.node.kbInPerS + s.roles.node.kbOutPerS,
    driver: 'starts/s',
    limit: null,
    digits: 0,
  },
  {
    role: 'state service',
    what: 'requests/s',
    of: (s) => s.state.requestsPerS,
    driver: 'starts/s',
    limit: RUN_SETTINGS.state.rps,
    digits: 1,
  },
  {
    role: 'state service',
    what: 'changes/s',
    of: (s) => s.state.changesPerS,
    driver: 'starts/s',
    limit: RUN_SETTINGS.state.write_rps,
    digits: 1,
  },
  {
    role: 'state service',
    what: 'cores (stand-in)',
    of: (s) => s.roles.state.cpu,
    driver: 'starts/s',
    limit: null,
    digits: 3,
  },
  {
    role: 'cloud',
    what: 'cores (stand-in)',
    of: (s) => s.roles.cloud.cpu,
    driver: 'workers',
    limit: null,
    digits: 3,
  },
  {
    role: 'all workers',
    what: 'reports/s',
    of: (s) => s.reportsPerS,
    driver: 'starts/s',
    limit: null,
    digits: 0,
  },
  {
    role: 'one worker',
    what: 'cores',
    of: (s) => s.roles.worker.cpu,
    driver: 'tasks',
    limit: WORKER_LIMITS.cores,
    digits: 4,
  },
  {
    role: 'one worker',
    what: 'MB resident',
    of: (s) => s.roles.worker.residentMb,
    driver: 'tasks',
    limit: WORKER_LIMITS.megabytes,
    digits: 0,
  },
  {
    role: 'one worker',
    what: 'KB/s in and out',
    of: (s) => s.roles.worker.kbInPerS + s.roles.worker.kbOutPerS,
    driver: 'tasks',
    limit: WORKER_LIMITS.kilobytesPerS,
    digits: 2,
  },
];

/** A straight line through the measured steps. */
export interface LinearFit {
  readonly base: number;
  readonly slope: number;
  /** Root of the mean squared distance of the steps from the line. */
  readonly residual: number;
  readonly r2: number;
  readonly least: number;
  readonly most: number;
}

/** Fits value = base + slope x driver; needs two points at the least. */
export function fitLine(points: readonly (readonly [number, number])[]): LinearFit {
  const data = points.map(([x, y]) => [x, y]);
  const { m: slope, b: base } = linearRegression(data);
  const line = (x: number): number => base + slope * x;
  const squares = points.map(([x, y]) => (y - line(x)) ** 2);
  const residual = Math.sqrt(squares.reduce((a, b) => a + b, 0) / Math.max(1, points.length));
  const xs = points.map(([x]) => x);
  return { base, slope, residual, r2: rSquared(data, line), least: Math.min(...xs), most: Math.max(...xs) };
}

/** The drivers at the operators' plan, for one region and for all at one leader. */
const PART: Readonly<Record<DriverName, number>> = {
  'starts/s': CAPACITY_PLAN.starts / CAPACITY_PLAN.regions,
  workers: CAPACITY_PLAN.workers / CAPACITY_PLAN.regions,
  tasks: CAPACITY_PLAN.running / CAPACITY_PLAN.workers,
};
const WHOLE: Readonly<Record<DriverName, number>> = {
  'starts/s': CAPACITY_PLAN.starts,
  workers: CAPACITY_PLAN.workers,
  tasks: CAPACITY_PLAN.running / CAPACITY_PLAN.workers,
};

function number(value: number, digits: number): string {
  return value.toFixed(digits);
}

/** A leader that began while it was measured has no figure of its own. */
function leaderFigure(s: StepResult, value: number, digits: number): string {
  return s.roles.leader.residentMb === 0 ? 'changed' : number(value, digits);
}

function share(value: number, limit: number | null): string {
  return limit === null ? '-' : `${Math.round((value / limit) * 100)}%`;
}

/** How far beyond the measured range a point lies. */
function range(f: LinearFit, at: number): string {
  if (at <= f.most * 1.05 && at >= f.least * 0.95) return 'measured';
  return at > f.most ? `extrapolated x${(at / f.most).toFixed(1)}` : 'below the range';
}

function table(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const line = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join('\n');
}

function slopeTable(steps: readonly StepResult[]): string {
  const rows = METRICS.map((m) => {
    const f = fitLine(steps.map((s) => [DRIVERS[m.driver](s), m.of(s)] as const));
    const part = f.base + f.slope * PART[m.driver];
    const whole = f.base + f.slope * WHOLE[m.driver];
    const atPart = `${number(part, m.digits)} (${range(f, PART[m.driver])})`;
    return [
      m.role,
      m.what,
      `${number(f.base, m.digits)} + ${f.slope.toPrecision(3)} x ${m.driver}`,
      `${number(f.residual, m.digits + 1)}; ${f.r2.toFixed(2)}`,
      `${number(f.least, 0)} to ${number(f.most, 0)}`,
      atPart,
      m.limit === null ? '-' : String(m.limit),
      share(part, m.limit),
      m.driver === 'tasks' ? '-' : `${number(whole, m.digits)} (${share(whole, m.limit)})`,
    ];
  });
  const head = [
    'role',
    'what',
    'fit',
    'residual; r2',
    'range',
    "one region's part",
    'limit',
    'used',
    'all at one leader',
  ];
  return table(head, rows);
}

function stepTable(steps: readonly StepResult[]): string {
  const rows = steps.map((s) => [
    s.share < 1
      ? `1/${Math.round(1 / s.share)} of a region`
      : `${s.regions} region${s.regions > 1 ? 's' : ''}`,
    String(s.workers * s.regions),
    String(s.processes),
    `${number(s.startsPerS, 0)} of ${number(s.startsAskedPerS, 0)} (${number(s.tasksCamePerS, 0)})`,
    String(s.running),
    leaderFigure(s, s.roles.leader.cpu, 2),
    number(s.roles.node.cpu, 2),
    leaderFigure(s, s.roles.leader.residentMb, 0),
    number(s.state.changesPerS, 0),
    `${number(s.urgentMs.p50, 0)}, ${number(s.urgentMs.p99, 0)}, ${number(s.urgentMs.most, 0)} (${s.urgentMs.count})`,
    `${number(s.acceptedMs.p50, 0)}, ${number(s.acceptedMs.p99, 0)}, ${number(s.acceptedMs.most, 0)}`,
    String(s.killedByLease),
    String(s.ends.length),
    String(s.brokenRules.length),
    `${Math.round(s.machineCpu * 100)}%, ${s.memoryMb} MB`,
  ]);
  const head = [
    'step',
    'workers',
    'processes',
    'starts/s a region, of asked (came)',
    'running a region',
    'leader cores',
    'other node cores',
    'leader MB',
    'changes/s a region',
    'urgent wait ms p50, p99, most (tasks)',
    'accepted ms p50, p99, most',
    'killed by leases',
    'ends',
    'rules broken',
    'machine',
  ];
  return table(head, rows);
}

function troubleTable(steps: readonly StepResult[]): string {
  const rows = steps.flatMap((s) =>
    s.troubles.map((t) => [
      t.trouble,
      number(t.watchedS, 0),
      number(t.startsPerS, 0),
      number(t.longestPauseS, 1),
      `${number(t.urgentMs.p50, 0)}, ${number(t.urgentMs.p99, 0)}, ${number(t.urgentMs.most, 0)} (${t.urgentMs.count})`,
      String(t.killedByLease),
      String(t.brokenRules),
    ]),
  );
  const head = [
    'trouble',
    'watched s',
    'starts/s',
    'longest time without a start, s',
    'urgent wait ms p50, p99, most (tasks)',
    'killed by leases',
    'rules broken',
  ];
  return table(head, rows);
}

function configurationTable(results: readonly NamedResult[]): string {
  const rows = results.flatMap(({ name, result }) =>
    result.steps.flatMap((s) => {
      const c = s.configuration ?? null;
      if (c === null) return [];
      return [
        [
          name,
          String(s.workers),
          number((c.asked / s.seconds) * 3600, 0),
          `${c.committed - c.lagged} of ${c.asked}`,
          `${number(c.inForceMs.p50, 0)}, ${number(c.inForceMs.p99, 0)}, ${number(c.inForceMs.most, 0)}`,
          `${c.conflicts}, ${c.failed}, ${c.lagged}`,
          c.allTeamsMs === null ? 'not made' : number(c.allTeamsMs, 0),
          number(s.urgentMs.p99, 0),
          leaderFigure(s, s.roles.leader.cpu, 2),
          number(s.state.changesPerS, 0),
          String(s.elections),
          String(s.brokenRules.length),
        ],
      ];
    }),
  );
  const head = [
    'run',
    'workers',
    'changes/h',
    'in force',
    'ms p50, p99, most',
    'asked again, failed, late',
    'all teams at once, ms',
    'urgent p99 ms',
    'leader cores',
    'changes/s',
    'elections',
    'rules broken',
  ];
  return table(head, rows);
}

/** Starts with the records of many ended jobs; the first row of each kept run with any. */
function endedJobsTable(results: readonly NamedResult[]): string {
  const rows = results.flatMap(({ name, result }) =>
    result.steps
      .filter((s) => (s.endedJobs ?? 0) > 0)
      .map((s) => [
        name,
        String(s.endedJobs),
        number((s.endedJobs ?? 0) / (CAPACITY_PLAN.jobsADay / CAPACITY_PLAN.regions), 1),
        s.readySeconds === null || s.readySeconds === undefined ? 'never' : number(s.readySeconds, 2),
        number(s.roles.leader.residentMb, 0),
        number(s.roles.node.residentMb, 0),
        number(s.urgentMs.p99, 0),
      ]),
  );
  const head = [
    'run',
    'ended jobs',
    'days of the plan in one region',
    'from start of all nodes to a leader that has read, s',
    'leader MB',
    'other node MB',
    'urgent p99 ms',
  ];
  return table(head, rows);
}

export interface NamedResult {
  readonly name: string;
  readonly result: ScaleResult;
}

/** The run that the slopes are fitted from. */
export const PLAN_RUN = 'plan';

/** All tables of docs/CAPACITY.md, from the kept runs: nothing in them is typed by hand. */
export function capacityTables(results: readonly NamedResult[]): string {
  const plan = results.find((r) => r.name === PLAN_RUN)?.result;
  if (plan === undefined) throw new Error(`there is no kept run called ${PLAN_RUN}`);
  const regional = plan.steps.filter((s) => s.regions === 1);
  const isPlain = (s: StepResult): boolean => (s.configuration ?? null) === null && (s.endedJobs ?? 0) === 0;
  const others = results.filter((r) => r.name !== PLAN_RUN && r.result.steps.some(isPlain));
  return [
    `Run of ${plan.at.slice(0, 10)}, seed ${plan.seed}, ${plan.cores} cores, ${plan.memoryMb} MB. It ended: ${plan.stopped}.`,
    '**Slopes** (steps of one region and its parts)',
    slopeTable(regional),
    '**Steps**',
    stepTable(plan.steps),
    "**Troubles at one region's part**",
    troubleTable(plan.steps),
    ...others.flatMap(({ name, result }) => [`**Run \`${name}\`**`, stepTable(result.steps)]),
    '**Configuration changed while jobs run**',
    configurationTable(results),
    '**Starts with many ended jobs**',
    endedJobsTable(results),
  ].join('\n\n');
}
