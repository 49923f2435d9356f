/**
 * Reads the bench's reports on days of a site: whether a day failed, and the margins of each class and team over half.
 *
 * @module
 */
import { MIN_SERVED_SHARE } from '@spurbridge/model';

/** The fields of a bench report that are read. All others are ignored. */
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

/** One share of a class or team on a day, and its margin over the minimum share. */
export interface Reading {
  readonly who: string;
  readonly reading: string;
  readonly share: number;
  readonly margin: number;
  /** Whether a low share is only a warning, because the model's definition of being served does not include it. */
  readonly isWarning: boolean;
}

/** Result of a day. */
export interface DayResult {
  readonly site: string;
  readonly day: string;
  readonly score: number | null;
  readonly rules: Readonly<Record<string, number>>;
  /** Number of processes that crashed or exceeded their memory, without those that the bench ended. */
  readonly ends: number;
  readonly killedByLease: number;
  readonly elections: number;
  /** Highest value of any node: sockets and memory as shares of their limits, and mean and peak processor usage. */
  readonly sockets: number;
  readonly memory: number;
  readonly cpuMean: number;
  readonly cpuPeak: number;
  readonly readings: readonly Reading[];
  readonly failed: boolean;
}

/** Limits of one controller. */
export interface Limits {
  readonly sockets: number;
  readonly memoryMb: number;
}

/** Reason that the bench states for the end of a process that it caused itself. */
const CAUSED_BY_BENCH = 'fault';

function classReadings(name: string, classReport: ClassReport, targets: readonly Target[]): Reading[] {
  const who = `class ${name}`;
  const rows: Reading[] = [];
  const add = (reading: string, share: number | null | undefined, isWarning = false): void => {
    if (typeof share === 'number')
      rows.push({ who, reading, share, margin: share - MIN_SERVED_SHARE, isWarning });
  };
  if (classReport.jobs > 0) add('started', classReport.started / classReport.jobs);
  const isService = typeof classReport.up === 'number';
  if (!isService && classReport.jobs > classReport.cancelled)
    add('ended', classReport.done / (classReport.jobs - classReport.cancelled));
  if (isService) add('replicas', classReport.up);
  add('by the deadline', isService ? null : classReport.in_deadline, true);
  for (const target of targets) {
    if (target.class !== name) continue;
    if (target.kind === 'up' && target.worst_s !== undefined)
      add(`replicas, worst ${target.worst_s} s`, target.value, true);
    if (target.kind === 'finished') add(`ended within ${target.within_s ?? 0} s`, target.value, true);
  }
  return rows;
}

/** Readings of teams and of the largest jobs of each class, from the last `service levels` lines of the processes' logs. */
export function teamReadings(log: string): Reading[] {
  const last = new Map<string, Reading[]>();
  for (const line of log.split('\n')) {
    const at = line.indexOf('{"level"');
    if (at < 0 || !line.includes('"msg":"service levels"')) continue;
    const fields = JSON.parse(line.slice(at)) as Record<string, unknown>;
    const who = String(fields['who']);
    const isLargest = who.endsWith(', largest');
    if (!who.startsWith('team ') && !isLargest) continue;
    const rows: Reading[] = [];
    for (const reading of isLargest ? ['ended', 'started'] : ['ended', 'replicas', 'in time']) {
      const share = fields[reading];
      if (typeof share !== 'number') continue;
      rows.push({ who, reading, share, margin: share - MIN_SERVED_SHARE, isWarning: reading === 'in time' });
    }
    last.set(who, rows);
  }
  return [...last.values()].flat();
}

function electionsIn(log: string): number {
  return log
    .split('\n')
    .filter((line) => line.includes('"to":"leading"') && line.includes('"from":"campaigning"')).length;
}

function scoreIn(log: string, day: string): number | null {
  const row = log.split('\n').find((line) => new RegExp(`^${day}\\s+\\d+\\s+[\\d.]+`).test(line));
  return row === undefined ? null : Number(row.trim().split(/\s+/)[2]);
}

/** Reads the report of a day and the logs of its processes. */
export function readDay(site: string, day: string, limits: Limits, text: string, log: string): DayResult {
  const report = JSON.parse(text) as BenchReport;
  const targets = report.targets ?? [];
  const nodes = report.node_stats ?? [];
  const most = (of: (n: NodeStats) => number): number => Math.max(0, ...nodes.map(of));
  const readings: Reading[] = [];
  for (const [name, classReport] of Object.entries(report.classes ?? {}))
    readings.push(...classReadings(name, classReport, targets));
  for (const [name, team] of Object.entries(report.teams ?? {})) {
    if (team.jobs === 0) continue;
    const share = team.started / team.jobs;
    readings.push({
      who: `team ${name}`,
      reading: 'started',
      share,
      margin: share - MIN_SERVED_SHARE,
      isWarning: false,
    });
  }
  readings.push(...teamReadings(log));
  const rules = report.rules_broken?.by_kind ?? {};
  const ends = nodes.flatMap((n) => n.restarts).filter((restart) => restart.why !== CAUSED_BY_BENCH).length;
  const isBroken = (report.rules_broken?.total ?? 0) > 0;
  return {
    site,
    day,
    score: scoreIn(log, day),
    rules,
    ends,
    killedByLease: report.fleet?.tasks_killed_by_lease ?? 0,
    elections: electionsIn(log),
    sockets: most((n) => n.connections_peak) / limits.sockets,
    memory: most((n) => n.memory_peak_mb) / limits.memoryMb,
    cpuMean: most((n) => n.cpu_mean),
    cpuPeak: most((n) => n.cpu_peak),
    readings,
    failed: isBroken || ends > 0 || readings.some((value) => value.margin < 0 && !value.isWarning),
  };
}

const figure = (value: number | null): string => (value === null ? '-' : value.toFixed(3));

/** Formats a day: first its overall figures, then one line for each share of a class or team with its margin over half. */
export function formatDay(result: DayResult): string {
  const rules = Object.entries(result.rules).map(([rule, n]) => `${rule} ${n}`);
  const head =
    `${result.failed ? 'FAILED' : 'ok    '} ${result.site} ${result.day}: ${figure(result.score)}; ` +
    `rules ${rules.length === 0 ? 'kept' : rules.join(', ')}; ends ${result.ends}; killed by leases ${result.killedByLease}; ` +
    `elections ${result.elections}; of their limits: sockets ${result.sockets.toFixed(2)}, memory ${result.memory.toFixed(2)}, ` +
    `processor ${result.cpuMean.toFixed(2)} (peak ${result.cpuPeak.toFixed(2)})`;
  const rows = result.readings.map((row) => {
    const mark = row.margin >= 0 ? '' : row.isWarning ? '  warning' : '  UNDER HALF';
    return `         ${row.who}, ${row.reading}: ${row.share.toFixed(3)} (${row.margin.toFixed(3)} over half)${mark}`;
  });
  return [head, ...rows].join('\n');
}

/** Formats the last line: which days failed, and all warnings. */
export function formatSummary(days: readonly DayResult[]): string {
  const failed = days.filter((day) => day.failed).map((day) => `${day.site} ${day.day}`);
  const warned = days.flatMap((day) =>
    day.readings
      .filter((row) => row.margin < 0 && row.isWarning)
      .map((row) => `${day.site} ${day.day} ${row.who} ${row.reading}`),
  );
  const verdict = failed.length === 0 ? `no day of ${days.length} failed` : `failed: ${failed.join('; ')}`;
  return warned.length === 0 ? verdict : `${verdict}; warnings: ${warned.join('; ')}`;
}
