/**
 * Plans deferrable jobs one after another on the remaining capacity: the working state of one release
 * decision.
 *
 * @module
 */
import type { WallClockMs } from '@spurbridge/model';
import type { DeferrableJob, ReleaseDecision, ReleaseInput } from './release-decision.js';
import type { TimeGrid } from './time-grid.js';
import { MIN_PIECE_MS, buildTimeGrid, freeCapacity, pricesOnGrid } from './time-grid.js';

/** Amounts below this are rounding errors. */
const EPSILON = 1e-6;
/** Delay until the next decision about a due job while released work uses all the capacity. */
const TURN_DELAY_MS = 1000;

/** A run of a job that starts in a piece of the grid. */
interface Run {
  readonly piece: number;
  /** When the first task starts, in milliseconds since 1970. */
  readonly startsAt: number;
}

/** The cheapest safe run of a job. */
interface CheapestRun {
  /** Null where no run is safe. */
  readonly run: Run | null;
  readonly cost: number;
  /** Whether there is a cheaper moment that is not safe. */
  readonly isCheaperTooLate: boolean;
}

/** Plans jobs in the given order; each reduces the capacity for those that follow. */
export class ReleasePlanner {
  private readonly grid: TimeGrid;
  /** Free CPU seconds in each piece: in total, and per team. */
  private readonly freeInPool: Float64Array;
  private readonly freeByTeam: readonly Float64Array[];
  private readonly prices: readonly Float64Array[];
  /** For each price series, the pieces in the order in which a job tries them. */
  private readonly pieceOrders: readonly Int32Array[];
  /** CPUs that released work would use: per team, and the total in the last element. */
  private readonly demandCpus: Float64Array;
  private readonly isBlind: boolean;
  private readonly hasWaitingJobs: boolean;

  constructor(private readonly input: ReleaseInput) {
    let end: number = input.now + MIN_PIECE_MS;
    for (const job of input.jobs) end = Math.max(end, job.finishBy);
    this.grid = buildTimeGrid(input, Math.min(end, input.until));
    this.freeInPool = freeCapacity(input.pool, this.grid);
    this.freeByTeam = input.teams.map((team) => freeCapacity(team, this.grid));
    const { series, isBlind } = pricesOnGrid(input, this.grid);
    this.prices = series;
    this.isBlind = isBlind;
    this.pieceOrders = series.map((prices) => pieceOrder(prices, isBlind));
    this.demandCpus = Float64Array.from([...input.teams, input.pool], (capacity) => capacity.demandCpus);
    this.hasWaitingJobs = input.jobs.some((job) => job.deferred);
  }

  /** Decides about one job, and reserves the capacity that it will use. */
  decide(job: DeferrableJob): ReleaseDecision {
    const { now } = this.input;
    const earliest = this.runFrom(job, this.earliestPiece(job));
    const costNow = this.cost(job, earliest);
    const cheapest = this.findCheapest(job, earliest.piece);
    if (cheapest.run === null) {
      this.addDemand(job);
      return { id: job.id, at: now, reason: 'no-room', costRatio: 1 };
    }
    const costRatio = costNow === Infinity || costNow === 0 ? 1 : cheapest.cost / costNow;
    const at = Math.max(now, cheapest.run.startsAt - job.leadTimeS * 1000) as WallClockMs;
    if (at > now && this.isWorthWaiting(job, costNow, cheapest.cost)) {
      this.reserve(job, cheapest.run);
      return { id: job.id, at, reason: this.isBlind ? 'blind' : 'cheaper', costRatio };
    }
    // Both the cheapest run and the earliest one on available capacity are safe; the job uses the capacity of
    // whichever is chosen.
    const chosen = at <= now || costNow === Infinity ? cheapest.run : earliest;
    const waitsForTurn = this.mustWaitForTurn(job, chosen);
    this.reserve(job, chosen);
    if (waitsForTurn)
      return { id: job.id, at: (now + TURN_DELAY_MS) as WallClockMs, reason: 'turn', costRatio };
    this.addDemand(job);
    const reason = at > now ? 'no-saving' : cheapest.isCheaperTooLate ? 'latest' : 'cheapest';
    const isCheapest = chosen.piece === cheapest.run.piece;
    return { id: job.id, at: now, reason, costRatio: isCheapest ? costRatio : 1 };
  }

  /**
   * Deferred jobs keep waiting for a cheaper run even if the remaining saving is small, and are released as
   * capacity becomes free. With the minimum saving applied to them, hundreds were released together, and those
   * with little time left queued behind the others.
   */
  private isWorthWaiting(job: DeferrableJob, costNow: number, lowestCost: number): boolean {
    if (job.deferred || this.isBlind || costNow === Infinity) return true;
    return costNow - lowestCost >= this.input.minSaving * Math.abs(costNow);
  }

  /**
   * Whether the release is delayed because released work uses all the capacity. Without the delay, the jobs of
   * a window were released together, filled the fleet and blocked urgent work. New jobs are delayed behind
   * waiting ones, because otherwise they took the capacity of jobs with less time left.
   */
  private mustWaitForTurn(job: DeferrableJob, run: Run): boolean {
    if (!(job.deferred || this.hasWaitingJobs) || !this.isCrowded(job)) return false;
    return this.cost(job, { ...run, startsAt: run.startsAt + TURN_DELAY_MS }) < Infinity;
  }

  // --- runs ------------------------------------------------------------------------------------

  private runFrom(job: DeferrableJob, piece: number): Run {
    return { piece, startsAt: this.startsAt(job, piece) };
  }

  /** When the first task starts if the job is released for a piece. */
  private startsAt(job: DeferrableJob, piece: number): number {
    return Math.max(this.grid.starts[piece] as number, this.input.now + job.leadTimeS * 1000);
  }

  /** The first piece in which the job can run if it is released now. */
  private earliestPiece(job: DeferrableJob): number {
    const { starts } = this.grid;
    const startsAt = this.input.now + job.leadTimeS * 1000;
    let piece = 0;
    while (piece + 1 < starts.length && (starts[piece + 1] as number) <= startsAt) piece += 1;
    return piece;
  }

  /** The cheapest safe run that starts in a piece from `earliest` on. */
  private findCheapest(job: DeferrableJob, earliest: number): CheapestRun {
    const prices = this.prices[job.priceIndex] as Float64Array;
    const freeInTeam = this.freeByTeam[job.team] as Float64Array;
    const startBy = job.startBy ?? Infinity;
    // Avoids allocating an object for each of the many pieces that are tried and rejected.
    let cheapestPiece: number | null = null;
    let lowestCost = Infinity;
    let isCheaperTooLate = false;
    for (const piece of this.pieceOrders[job.priceIndex] as Int32Array) {
      if (piece < earliest) continue;
      const price = prices[piece] as number;
      // Pieces are tried in order of cost, so a later one cannot be cheaper, except for work that spills over
      // into other pieces.
      if (cheapestPiece !== null && (this.isBlind || price * job.workCpuS >= lowestCost - EPSILON)) break;
      const startsAt = this.startsAt(job, piece);
      if (startsAt >= job.finishBy) continue;
      if (startsAt > startBy) {
        isCheaperTooLate = true;
        continue;
      }
      if (Math.min(freeInTeam[piece] as number, this.freeInPool[piece] as number) <= EPSILON) continue;
      const cost = this.simulate(job, piece, startsAt, false);
      if (cost < lowestCost) {
        lowestCost = cost;
        cheapestPiece = piece;
      } else if (cost === Infinity) isCheaperTooLate = true;
    }
    const run = cheapestPiece === null ? null : this.runFrom(job, cheapestPiece);
    return { run, cost: lowestCost, isCheaperTooLate };
  }

  // --- capacity --------------------------------------------------------------------------------

  /** Cost of a run, or Infinity if it would not safely end in time. */
  private cost(job: DeferrableJob, run: Run): number {
    return this.simulate(job, run.piece, run.startsAt, false);
  }

  /** Reserves the capacity of a run, up to the point where it would not safely end in time. */
  private reserve(job: DeferrableJob, run: Run): void {
    this.simulate(job, run.piece, run.startsAt, true);
  }

  /** Runs the job piece by piece on the free capacity; returns its cost, or Infinity. */
  private simulate(job: DeferrableJob, firstPiece: number, startsAt: number, reserves: boolean): number {
    const { starts, lengthsS } = this.grid;
    const freeInTeam = this.freeByTeam[job.team] as Float64Array;
    const prices = this.prices[job.priceIndex] as Float64Array;
    const finishBy = job.finishBy - job.marginS * 1000;
    if (startsAt + job.taskRunTimeS * 1000 > finishBy) return Infinity;
    let remainingCpuS = job.workCpuS;
    let cost = 0;
    let isCapacityLimited = false;
    for (let piece = firstPiece; piece < starts.length; piece += 1) {
      const from = piece === firstPiece ? startsAt : (starts[piece] as number);
      if (from >= finishBy) return Infinity;
      const lengthS = (lengthsS[piece] as number) - Math.max(0, from - (starts[piece] as number)) / 1000;
      const free = Math.min(freeInTeam[piece] as number, this.freeInPool[piece] as number);
      const wanted = Math.min(remainingCpuS, job.cpus * lengthS);
      const used = Math.min(wanted, free);
      if (used < wanted - EPSILON) isCapacityLimited = true;
      remainingCpuS -= used;
      cost += used * (prices[piece] as number);
      if (reserves) {
        freeInTeam[piece] = (freeInTeam[piece] as number) - used;
        this.freeInPool[piece] = (this.freeInPool[piece] as number) - used;
      }
      if (remainingCpuS > EPSILON) continue;
      const workEndsAt =
        from + (lengthS * 1000 * used) / Math.max(EPSILON, Math.min(free, job.cpus * lengthS));
      // If free capacity limited the job, its last task may start as late as `workEndsAt`.
      const endsAt = isCapacityLimited
        ? workEndsAt + job.taskRunTimeS * 1000
        : Math.max(workEndsAt, startsAt + job.taskRunTimeS * 1000);
      return endsAt <= finishBy ? cost : Infinity;
    }
    return Infinity;
  }

  /** Whether released work uses all the capacity available to the job: its team's, or the total. */
  private isCrowded(job: DeferrableJob): boolean {
    const { teams, pool } = this.input;
    const exceeds = (index: number, cpus: number): boolean => {
      const demandCpus = this.demandCpus[index] as number;
      return demandCpus > 0 && demandCpus + job.cpus > cpus;
    };
    return exceeds(job.team, teams[job.team]?.cpus ?? 0) || exceeds(teams.length, pool.cpus);
  }

  /** Accounts for the CPUs of a job that is released. */
  private addDemand(job: DeferrableJob): void {
    for (const index of [job.team, this.input.teams.length])
      this.demandCpus[index] = (this.demandCpus[index] as number) + job.cpus;
  }
}

/** Pieces by cost, cheapest first, then by time; with no price known, the latest first. */
function pieceOrder(prices: Float64Array, isBlind: boolean): Int32Array {
  return Int32Array.from(prices.keys()).sort((left, right) =>
    isBlind ? right - left : (prices[left] as number) - (prices[right] as number) || left - right,
  );
}
