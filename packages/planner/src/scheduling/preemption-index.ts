/**
 * Which tasks may be preempted, and for which jobs. Computed once per pass for all jobs with the same priority
 * and the same guarantee.
 *
 * @module
 */

import type { JobId } from '@spurbridge/wire';
import type { JobView, MachineView, Occupant } from '../cluster-snapshot.js';
import { PRIORITY_RANK } from '../cluster-snapshot.js';

/** Less than the rank of any priority. */
const NO_RANK = -1;

/** A machine on which some task may be preempted, or is being stopped already. */
export interface PreemptionCandidate {
  readonly machine: MachineView;
  /** Tasks that may be preempted, ordered by the work that would be lost, least first. */
  readonly victims: readonly Occupant[];
  /** Whether some task is being stopped there. */
  readonly isStopping: boolean;
  /** The resources that are free once the tasks being stopped have stopped. */
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** The tasks of one pass that may be preempted. */
export class PreemptionIndex {
  /** The number of machines visited. */
  machineVisits = 0;
  /** The rank of the lowest priority (the highest number) among tasks that may be preempted. */
  private lowestRank = NO_RANK;
  /** The same for the tasks that each team runs beyond its guarantee. */
  private readonly lowestRankBeyondGuarantee = new Map<string, number>();
  private readonly candidatesByPreemptor = new Map<string, readonly PreemptionCandidate[]>();

  constructor(
    private readonly machines: readonly MachineView[],
    private readonly jobsBeyondGuarantee: ReadonlySet<JobId>,
  ) {}

  /** Adds an occupant of a machine to those considered by `canPreempt`. */
  addOccupant(occupant: Occupant): void {
    if (!occupant.isPreemptible || occupant.isStopping) return;
    const rank = PRIORITY_RANK[occupant.priority];
    this.lowestRank = Math.max(this.lowestRank, rank);
    if (!this.jobsBeyondGuarantee.has(occupant.job)) return;
    const lowestRank = this.lowestRankBeyondGuarantee.get(occupant.team) ?? NO_RANK;
    this.lowestRankBeyondGuarantee.set(occupant.team, Math.max(lowestRank, rank));
  }

  /** Whether any running task may be preempted for the job. */
  canPreempt({ spec }: JobView, isGuaranteed: boolean): boolean {
    const rank = PRIORITY_RANK[spec.priority];
    if (this.lowestRank > rank) return true;
    if (!isGuaranteed) return false;
    for (const [team, lowestRank] of this.lowestRankBeyondGuarantee)
      if (team !== spec.team && lowestRank >= rank) return true;
    return false;
  }

  /** The machines on which some task may be preempted for the job, or is being stopped. */
  candidatesFor({ spec }: JobView, isGuaranteed: boolean): readonly PreemptionCandidate[] {
    const rank = PRIORITY_RANK[spec.priority];
    const preemptor = isGuaranteed ? `${rank}/${spec.team}` : `${rank}`;
    let candidates = this.candidatesByPreemptor.get(preemptor);
    if (candidates === undefined) {
      candidates = this.findCandidates(rank, isGuaranteed ? spec.team : null);
      this.candidatesByPreemptor.set(preemptor, candidates);
    }
    return candidates;
  }

  private findCandidates(rank: number, guaranteedTeam: string | null): PreemptionCandidate[] {
    const candidates: PreemptionCandidate[] = [];
    for (const machine of this.machines) {
      this.machineVisits += 1;
      if (!machine.isSchedulable) continue;
      const candidate = this.candidateOf(machine, rank, guaranteedTeam);
      if (candidate !== null) candidates.push(candidate);
    }
    return candidates;
  }

  private candidateOf(
    machine: MachineView,
    rank: number,
    guaranteedTeam: string | null,
  ): PreemptionCandidate | null {
    let { cpus, gpus, memoryGb } = machine.type;
    let isStopping = false;
    const victims: Occupant[] = [];
    for (const occupant of machine.occupants) {
      if (occupant.isStopping) {
        isStopping = true;
        continue;
      }
      cpus -= occupant.cpus;
      gpus -= occupant.gpus;
      memoryGb -= occupant.memoryGb;
      if (this.isVictim(occupant, rank, guaranteedTeam)) victims.push(occupant);
    }
    if (victims.length === 0 && !isStopping) return null;
    victims.sort((first, second) => first.lostWorkS - second.lostWorkS);
    return { machine, victims, isStopping, cpus, gpus, memoryGb };
  }

  /**
   * Whether the occupant may be preempted. Lower priorities may be. A job within its team's guarantee may also
   * preempt tasks of the same priority that other teams run beyond their guarantees.
   */
  private isVictim(occupant: Occupant, rank: number, guaranteedTeam: string | null): boolean {
    if (!occupant.isPreemptible) return false;
    const victimRank = PRIORITY_RANK[occupant.priority];
    if (victimRank > rank) return true;
    const isBeyondGuarantee =
      guaranteedTeam !== null &&
      occupant.team !== guaranteedTeam &&
      this.jobsBeyondGuarantee.has(occupant.job);
    return isBeyondGuarantee && victimRank >= rank;
  }
}
