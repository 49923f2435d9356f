import type { WallClockMs } from '@spurbridge/model';
import type { JobId } from '@spurbridge/wire';

/** A job that may wait, as the release decision sees it. All durations in seconds. */
export interface DeferrableJob {
  readonly id: JobId;
  /** Whether it was deferred before: then it goes in its turn, and not as soon as waiting saves little. */
  readonly deferred: boolean;
  readonly team: number;
  /** Index into the prices: the zone that the job is bound to, or the mean of all. */
  readonly prices: number;
  /** What its unfinished tasks take of the machines while all of them run, in CPUs. */
  readonly cpus: number;
  /** Machine time of all its unfinished tasks, in CPU seconds. */
  readonly work: number;
  /** A task's run time that is hardly ever exceeded. */
  readonly taskS: number;
  /** From its release until its first task runs: boot, image fetch. */
  readonly leadS: number;
  /** Kept between the expected end and the finish time: lost machines, a takeover, clocks. */
  readonly marginS: number;
  readonly finishBy: WallClockMs;
  /** Latest start of its first task, or null. */
  readonly startBy: WallClockMs | null;
}

/** CPUs that deferred work can count on, and what is ahead of it there. */
export interface Capacity {
  readonly cpus: number;
  /** CPU seconds still to be done. */
  readonly ahead: number;
  /** CPUs that it would take if all of its tasks ran now. */
  readonly wanted: number;
}

export interface ReleaseInput {
  readonly now: WallClockMs;
  readonly jobs: readonly DeferrableJob[];
  readonly teams: readonly Capacity[];
  /** All teams together. */
  readonly pool: Capacity;
  /** Pieces of the time from `now` on, in order. */
  readonly starts: readonly WallClockMs[];
  readonly until: WallClockMs;
  /** Cost of a CPU second in each piece; NaN where nothing is known. */
  readonly prices: readonly Float64Array[];
  /** A wait that saves less than this share of its cost is not worth it. */
  readonly leastSaving: number;
}

export type ReleaseReason =
  /** A cheaper moment is safe. */
  | 'cheaper'
  /** Its time has come, but what joined before takes all room, and a moment later is safe, too. */
  | 'turn'
  /** Nothing is known of prices: it waits for news as long as that is safe. */
  | 'blind'
  /** The cheapest safe moment is now. */
  | 'cheapest'
  /** Waiting saves too little. */
  | 'no-saving'
  /** A cheaper moment is there, but not safely before the finish time. */
  | 'latest'
  /** No moment is safe any more: neither is now. */
  | 'no-room';

export interface ReleaseDecision {
  readonly id: JobId;
  /** Now, or when it should join the order as things stand. */
  readonly at: WallClockMs;
  readonly reason: ReleaseReason;
  /** Cost at this moment over the cost of starting at once. */
  readonly ratio: number;
}

const MOST_PIECES = 160;
const LEAST_PIECE_MS = 15_000;
const EPSILON = 1e-6;
/** A job whose turn has come is asked about again this much later while what is released takes all room. */
const PACE_MS = 1000;

interface Grid {
  readonly starts: Float64Array;
  readonly lengths: Float64Array;
  /** The price piece that each piece of the grid lies in. */
  readonly piece: Int32Array;
}

/** The price pieces, cut further so that releases spread over a long window. */
function gridOf(input: ReleaseInput, last: number): Grid {
  const stepMs = Math.max(LEAST_PIECE_MS, (last - input.now) / MOST_PIECES);
  const starts: number[] = [];
  const lengths: number[] = [];
  const piece: number[] = [];
  for (let i = 0; i < input.starts.length; i += 1) {
    const from = Math.max(input.now, input.starts[i] as number);
    const to = Math.min(last, input.starts[i + 1] ?? input.until);
    if (to <= from) continue;
    const parts = Math.max(1, Math.ceil((to - from) / stepMs));
    for (let k = 0; k < parts; k += 1) {
      starts.push(from + ((to - from) * k) / parts);
      lengths.push((to - from) / parts / 1000);
      piece.push(i);
    }
  }
  return {
    starts: Float64Array.from(starts),
    lengths: Float64Array.from(lengths),
    piece: Int32Array.from(piece),
  };
}

/** What is free in each piece of the grid, in CPU seconds, behind what is ahead. */
function room(c: Capacity, grid: Grid): Float64Array {
  let ahead = c.ahead;
  return grid.lengths.map((s) => {
    const all = c.cpus * s;
    const taken = Math.min(all, ahead);
    ahead -= taken;
    return all - taken;
  });
}

/** Prices on the grid: where nothing is known, the dearest that is known, so that no job waits for it. */
function pricesOnGrid(input: ReleaseInput, grid: Grid): { prices: Float64Array[]; blind: boolean } {
  let blind = true;
  const prices = input.prices.map((series) => {
    let dearest = -Infinity;
    for (const i of grid.piece) {
      const p = series[i] as number;
      if (p > dearest) dearest = p;
    }
    if (dearest > -Infinity) blind = false;
    const fill = dearest > -Infinity ? dearest : 1;
    return Float64Array.from(grid.piece, (i) => {
      const p = series[i] as number;
      return Number.isNaN(p) ? fill : p;
    });
  });
  return { prices, blind };
}

/** Places one job after the other on what is free: the working state of one decision. */
class ReleasePlanner {
  private readonly grid: Grid;
  private readonly pool: Float64Array;
  private readonly teams: Float64Array[];
  private readonly prices: Float64Array[];
  private readonly order: Int32Array[];
  /** CPUs wanted by what has joined the order: of each team, and at the end of all. */
  private readonly wanted: Float64Array;
  readonly blind: boolean;
  private readonly othersWait: boolean;

  constructor(private readonly input: ReleaseInput) {
    let last: number = input.now + LEAST_PIECE_MS;
    for (const j of input.jobs) last = Math.max(last, j.finishBy);
    this.grid = gridOf(input, Math.min(last, input.until));
    this.pool = room(input.pool, this.grid);
    this.teams = input.teams.map((t) => room(t, this.grid));
    const { prices, blind } = pricesOnGrid(input, this.grid);
    this.prices = prices;
    this.blind = blind;
    this.othersWait = input.jobs.some((j) => j.deferred);
    this.wanted = Float64Array.from([...input.teams, input.pool], (c) => c.wanted);
    // Cheapest first, and of equal ones the earliest; with no price known, the latest.
    this.order = prices.map((p) =>
      Int32Array.from(p.keys()).sort((a, b) =>
        blind ? b - a : (p[a] as number) - (p[b] as number) || a - b,
      ),
    );
  }

  private get pieces(): number {
    return this.grid.starts.length;
  }

  /**
   * Cost of running the job from piece `first` on, as much at a time as is free, or Infinity where it would
   * not surely end in time. `take` also takes the room.
   */
  private cost(job: DeferrableJob, first: number, runsFrom: number, take: boolean): number {
    const { starts, lengths } = this.grid;
    const team = this.teams[job.team] as Float64Array;
    const prices = this.prices[job.prices] as Float64Array;
    const finishBy = job.finishBy - job.marginS * 1000;
    if (runsFrom + job.taskS * 1000 > finishBy) return Infinity;
    let left = job.work;
    let cost = 0;
    let held = false;
    for (let b = first; b < this.pieces; b += 1) {
      const from = b === first ? runsFrom : (starts[b] as number);
      if (from >= finishBy) return Infinity;
      const lengthS = (lengths[b] as number) - Math.max(0, from - (starts[b] as number)) / 1000;
      const free = Math.min(team[b] as number, this.pool[b] as number);
      const wanted = Math.min(left, job.cpus * lengthS);
      const used = Math.min(wanted, free);
      if (used < wanted - EPSILON) held = true;
      left -= used;
      cost += used * (prices[b] as number);
      if (take) {
        team[b] = (team[b] as number) - used;
        this.pool[b] = (this.pool[b] as number) - used;
      }
      if (left <= EPSILON) {
        // Behind others the last tasks start when this much is done, and run their whole time from there.
        const workEnds =
          from + (lengthS * 1000 * used) / Math.max(EPSILON, Math.min(free, job.cpus * lengthS));
        const endsAt = held ? workEnds + job.taskS * 1000 : Math.max(workEnds, runsFrom + job.taskS * 1000);
        return endsAt <= finishBy ? cost : Infinity;
      }
    }
    return Infinity;
  }

  private runsFrom(job: DeferrableJob, b: number): number {
    return Math.max(this.grid.starts[b] as number, this.input.now + job.leadS * 1000);
  }

  /** The first piece in which the job can run if it is released now. */
  private soonest(job: DeferrableJob): number {
    const at = this.input.now + job.leadS * 1000;
    let b = 0;
    while (b + 1 < this.pieces && (this.grid.starts[b + 1] as number) <= at) b += 1;
    return b;
  }

  /** Whether what has joined already takes all that there is for the job: of its team, or of all. */
  private isCrowded(job: DeferrableJob): boolean {
    const { teams, pool } = this.input;
    const exceeds = (i: number, cpus: number): boolean => {
      const wanted = this.wanted[i] as number;
      return wanted > 0 && wanted + job.cpus > cpus;
    };
    return exceeds(job.team, teams[job.team]?.cpus ?? 0) || exceeds(teams.length, pool.cpus);
  }

  private join(job: DeferrableJob): void {
    for (const i of [job.team, this.input.teams.length])
      this.wanted[i] = (this.wanted[i] as number) + job.cpus;
  }

  decide(job: DeferrableJob): ReleaseDecision {
    const { now, leastSaving } = this.input;
    const first = this.soonest(job);
    const prices = this.prices[job.prices] as Float64Array;
    const team = this.teams[job.team] as Float64Array;
    const costNow = this.cost(job, first, this.runsFrom(job, first), false);
    const startBy = job.startBy ?? Infinity;
    let best = -1;
    let bestCost = Infinity;
    let cheaperTooLate = false;
    for (const b of this.order[job.prices] as Int32Array) {
      if (b < first) continue;
      const price = prices[b] as number;
      // Starting in a dearer piece costs no less than what was found, but for what spills over.
      if (best >= 0 && (this.blind || price * job.work >= bestCost - EPSILON)) break;
      const from = this.runsFrom(job, b);
      if (from >= job.finishBy) continue;
      if (from > startBy) {
        cheaperTooLate = true;
        continue;
      }
      if (Math.min(team[b] as number, this.pool[b] as number) <= EPSILON) continue;
      const cost = this.cost(job, b, from, false);
      if (cost < bestCost) {
        bestCost = cost;
        best = b;
      } else if (cost === Infinity) cheaperTooLate = true;
    }
    if (best < 0) {
      this.join(job);
      return { id: job.id, at: now, reason: 'no-room', ratio: 1 };
    }
    const ratio = costNow === Infinity || costNow === 0 ? 1 : bestCost / costNow;
    // Those that wait are let go as room comes free. Once the rest of the wait was short enough to save
    // little, hundreds were released together, and the ones with little time left stood behind the others.
    const worth =
      job.deferred ||
      this.blind ||
      costNow === Infinity ||
      costNow - bestCost >= leastSaving * Math.abs(costNow);
    const from = this.runsFrom(job, best);
    const at = Math.max(now, from - job.leadS * 1000) as WallClockMs;
    if (at <= now || !worth) {
      // What was found is safe, and so is now where there is room now; the room goes to whichever it is.
      const chosen = at <= now || costNow === Infinity ? best : first;
      // Released all at once, a window's jobs filled the fleet to the last place, and urgent work waited.
      const soon = this.runsFrom(job, chosen) + PACE_MS;
      // New ones stand behind those that wait: joined at once, they took the room of some with less time left.
      const paced =
        (job.deferred || this.othersWait) &&
        this.isCrowded(job) &&
        this.cost(job, chosen, soon, false) < Infinity;
      this.cost(job, chosen, this.runsFrom(job, chosen), true);
      if (paced) return { id: job.id, at: (now + PACE_MS) as WallClockMs, reason: 'turn', ratio };
      this.join(job);
      const reason = at > now ? 'no-saving' : cheaperTooLate ? 'latest' : 'cheapest';
      return { id: job.id, at: now, reason, ratio: chosen === best ? ratio : 1 };
    }
    this.cost(job, best, from, true);
    return { id: job.id, at, reason: this.blind ? 'blind' : 'cheaper', ratio };
  }
}

/**
 * When each waiting job should join the order: at the cheapest moment that is still safe with everything
 * else that waits. Jobs choose in the order of their latest safe start, each in what those before it left; so
 * the whole result is a schedule that meets every finish time, and nobody waits who has no place in it.
 * Where each job needs one place and windows nest, as with finish times alone, that order is optimal.
 *
 * A pure function: the same input gives the same decisions on any node.
 */
export function decideReleases(input: ReleaseInput): ReleaseDecision[] {
  const placer = new ReleasePlanner(input);
  const latest = Float64Array.from(
    input.jobs,
    (j) => Math.min(j.finishBy - (j.taskS + j.marginS) * 1000, j.startBy ?? Infinity) - j.leadS * 1000,
  );
  const order = Array.from(input.jobs.keys()).sort(
    (a, b) =>
      (latest[a] as number) - (latest[b] as number) ||
      ((input.jobs[a] as DeferrableJob).id < (input.jobs[b] as DeferrableJob).id ? -1 : 1),
  );
  return order.map((i) => placer.decide(input.jobs[i] as DeferrableJob));
}
