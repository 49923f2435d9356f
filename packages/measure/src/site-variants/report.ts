import { MIN_SERVED_SHARE } from '@spurbridge/model';

/** The parts of a bench report that are read; whatever else it holds is passed over. */
interface BenchReport {
  readonly rules_broken?: { readonly total?: number; readonly by_kind?: Readonly<Record<string, number>> };
  readonly classes?: Readonly<Record<string, ClassReport>>;
  readonly teams?: Readonly<Record<string, { readonly jobs: number; readonly started: number }>>;
  readonly targets?: readonly Target[];
  readonly fleet?: { readonly tasks_killed_by_lease?: number };
  readonly node_stats?: readonly NodeStats[];
}

interface ClassReport {
  readonly jobs: number;
  readonly started: number;
  readonly done: number;
  readonly cancelled: number;
  readonly in_deadline?: number | null;
  readonly up?: number | null;
}

interface Target {
  readonly kind: string;
  readonly class?: string;
  readonly worst_s?: number;
  readonly within_s?: number;
  readonly times?: number;
  readonly value: number | null;
}

interface NodeStats {
  readonly node: string;
  readonly cpu_mean: number;
  readonly cpu_peak: number;
  readonly memory_peak_mb: number;
  readonly connections_peak: number;
  readonly restarts: readonly { readonly why: string }[];
}

/** One reading of one class or team on a day. */
export interface Reading {
  readonly who: string;
  readonly reading: string;
  readonly share: number;
  readonly margin: number;
  /** Operators may mean it; the definition (`served` of the model) does not. */
  readonly isWarning: boolean;
}

export interface DayResult {
  readonly site: string;
  readonly day: string;
  readonly score: number | null;
  readonly rules: Readonly<Record<string, number>>;
  /** Processes that ended by themselves, or for memory. */
  readonly ends: number;
  readonly killedByLease: number;
  readonly elections: number;
  /** The fullest node: sockets and memory, as shares of the limit, and the processor's mean and peak of its share. */
  readonly sockets: number;
  readonly memory: number;
  readonly cpuMean: number;
  readonly cpuPeak: number;
  readonly readings: readonly Reading[];
  readonly failed: boolean;
}

export interface Limits {
  readonly sockets: number;
  readonly memoryMb: number;
}

/** The bench's own words for an end that it brought about itself. */
const BROUGHT_ABOUT = 'fault';

function classReadings(name: string, c: ClassReport, targets: readonly Target[]): Reading[] {
  const who = `class ${name}`;
  const rows: Reading[] = [];
  const add = (reading: string, share: number | null | undefined, isWarning = false): void => {
    if (typeof share === 'number')
      rows.push({ who, reading, share, margin: share - MIN_SERVED_SHARE, isWarning });
  };
  if (c.jobs > 0) add('started', c.started / c.jobs);
  const isService = typeof c.up === 'number';
  if (!isService && c.jobs > c.cancelled) add('ended', c.done / (c.jobs - c.cancelled));
  if (isService) add('replicas', c.up);
  add('by the deadline', isService ? null : c.in_deadline, true);
  for (const t of targets) {
    if (t.class !== name) continue;
    if (t.kind === 'up' && t.worst_s !== undefined) add(`replicas, worst ${t.worst_s} s`, t.value, true);
    if (t.kind === 'finished') add(`ended within ${t.within_s ?? 0} s`, t.value, true);
  }
  return rows;
}

/** Readings of teams and of each class's largest jobs: the last `served` lines of the processes' own logs. */
export function teamReadings(log: string): Reading[] {
  const last = new Map<string, Reading[]>();
  for (const line of log.split('\n')) {
    const at = line.indexOf('{"level"');
    if (at < 0 || !line.includes('"msg":"service levels"')) continue;
    const said = JSON.parse(line.slice(at)) as Record<string, unknown>;
    const who = String(said['who']);
    const isLargest = who.endsWith(', largest');
    if (!who.startsWith('team ') && !isLargest) continue;
    const rows: Reading[] = [];
    for (const reading of isLargest ? ['ended', 'started'] : ['ended', 'replicas', 'in time']) {
      const share = said[reading];
      if (typeof share !== 'number') continue;
      rows.push({ who, reading, share, margin: share - MIN_SERVED_SHARE, isWarning: reading === 'in time' });
    }
    last.set(who, rows);
  }
  return [...last.values()].flat();
}

function electionsIn(log: string): number {
  return log.split('\n').filter((l) => l.includes('"to":"leading"') && l.includes('"from":"campaigning"'))
    .length;
}

function scoreIn(log: string, day: string): number | null {
  const row = log.split('\n').find((l) => new RegExp(`^${day}\\s+\\d+\\s+[\\d.]+`).test(l));
  return row === undefined ? null : Number(row.trim().split(/\s+/)[2]);
}

/** What a day's report and its processes' logs say, and whether it failed. */
export function readDay(site: string, day: string, limits: Limits, text: string, log: string): DayResult {
  const r = JSON.parse(text) as BenchReport;
  const targets = r.targets ?? [];
  const nodes = r.node_stats ?? [];
  const most = (of: (n: NodeStats) => number): number => Math.max(0, ...nodes.map(of));
  const readings: Reading[] = [];
  for (const [name, c] of Object.entries(r.classes ?? {})) readings.push(...classReadings(name, c, targets));
  for (const [name, t] of Object.entries(r.teams ?? {})) {
    if (t.jobs === 0) continue;
    const share = t.started / t.jobs;
    readings.push({
      who: `team ${name}`,
      reading: 'started',
      share,
      margin: share - MIN_SERVED_SHARE,
      isWarning: false,
    });
  }
  readings.push(...teamReadings(log));
  const rules = r.rules_broken?.by_kind ?? {};
  const ends = nodes.flatMap((n) => n.restarts).filter((e) => e.why !== BROUGHT_ABOUT).length;
  const isBroken = (r.rules_broken?.total ?? 0) > 0;
  return {
    site,
    day,
    score: scoreIn(log, day),
    rules,
    ends,
    killedByLease: r.fleet?.tasks_killed_by_lease ?? 0,
    elections: electionsIn(log),
    sockets: most((n) => n.connections_peak) / limits.sockets,
    memory: most((n) => n.memory_peak_mb) / limits.memoryMb,
    cpuMean: most((n) => n.cpu_mean),
    cpuPeak: most((n) => n.cpu_peak),
    readings,
    failed: isBroken || ends > 0 || readings.some((x) => x.margin < 0 && !x.isWarning),
  };
}

const figure = (x: number | null): string => (x === null ? '-' : x.toFixed(3));

/** A day as a few lines: what it is judged by, then every class and team with its margin over half. */
export function printDay(d: DayResult): string {
  const rules = Object.entries(d.rules).map(([rule, n]) => `${rule} ${n}`);
  const head =
    `${d.failed ? 'FAILED' : 'ok    '} ${d.site} ${d.day}: ${figure(d.score)}; ` +
    `rules ${rules.length === 0 ? 'kept' : rules.join(', ')}; ends ${d.ends}; killed by leases ${d.killedByLease}; ` +
    `elections ${d.elections}; of their limits: sockets ${d.sockets.toFixed(2)}, memory ${d.memory.toFixed(2)}, ` +
    `processor ${d.cpuMean.toFixed(2)} (peak ${d.cpuPeak.toFixed(2)})`;
  const rows = d.readings.map((r) => {
    const mark = r.margin >= 0 ? '' : r.isWarning ? '  warning' : '  UNDER HALF';
    return `         ${r.who}, ${r.reading}: ${r.share.toFixed(3)} (${r.margin.toFixed(3)} over half)${mark}`;
  });
  return [head, ...rows].join('\n');
}

/** The last line: whether a day failed, and the least margins. */
export function printEnd(days: readonly DayResult[]): string {
  const failed = days.filter((d) => d.failed).map((d) => `${d.site} ${d.day}`);
  const warned = days.flatMap((d) =>
    d.readings
      .filter((r) => r.margin < 0 && r.isWarning)
      .map((r) => `${d.site} ${d.day} ${r.who} ${r.reading}`),
  );
  const said = failed.length === 0 ? `no day of ${days.length} failed` : `failed: ${failed.join('; ')}`;
  return warned.length === 0 ? said : `${said}; warnings: ${warned.join('; ')}`;
}
