import type { Job, Machine } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { ScaleOutRequest, UnplacedDemand } from '@spurbridge/planner';
import { planFleet } from '@spurbridge/planner';
import type { ListedMachine, MachineId } from '@spurbridge/wire';
import { KEY_ABSENT, read } from '@spurbridge/wire';
import { MAX_MACHINES_PER_RELEASE, MAX_MACHINES_PER_RENTAL } from '@spurbridge/cloud';
import type { ArrivalRate } from '../placement/arrival-rate.js';
import type { ClusterState } from '../jobs/cluster-state.js';
import { compareMachineIds } from '../jobs/cluster-state.js';
import { DemandHistory, buildFleetView } from './fleet-view.js';
import { sustainableMachineCount, failoverDiscoveryTimeoutMs } from '../settings.js';
import { WakeSignal } from '../wake-signal.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

export const FLEET_KEY = 'fleet';
const LIST_MS = 3000;
const NO_CAPACITY_MS = 15_000;
const IDLE_RENTED_S = 25;
const IDLE_STANDING_S = 600;
const REPLICAS_PER_MOVE = 250;
const MACHINES_PER_EMPTIED = 100;
const WAVE_MS = 1000;
const CONSOLIDATE_MS = 1000;
const CONSOLIDATED = 'consolidated';

/** Rents, returns and watches over machines, for as long as its leader leads. */
export class FleetController {
  private readonly signal = new WakeSignal();
  private unmet: readonly UnplacedDemand[] = [];
  private readonly refusedUntil = new Map<string, MonotonicMs>();
  private requests = 0;
  private releaseDue: MachineId[] = [];
  private readonly demand: DemandHistory;
  private consolidateAt = 0 as MonotonicMs;
  /** When the list that was read last was asked for. */
  listedAt: MonotonicMs | null = null;
  /** When a machine that ran something before this node led was first heard, the last time. */
  private lastReconnectionAt: MonotonicMs | null = null;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly arrivals: ArrivalRate,
    /** Whether what is on the machines is known: none is given back as idle before. */
    private readonly mayGiveBack: () => boolean,
  ) {
    this.demand = new DemandHistory(cluster, term.context.machineTypes);
    cluster.on('up', (m) => {
      m.isProvisioned = cluster.isScaledOut(m.id);
      if (cluster.taskCountOn(m.id) > 0) this.lastReconnectionAt = term.context.clock.now();
    });
  }

  setUnplacedDemand(unmet: readonly UnplacedDemand[]): void {
    this.unmet = unmet;
    this.demand.record(unmet, this.term.context.clock.now());
    this.signal.notify();
  }

  /**
   * Whether workers of an earlier leader are still finding this one. Hundreds come at once, and a node
   * behind its share hears the last of them late: that says nothing against the machines.
   */
  isReconnectionWave(now: MonotonicMs): boolean {
    return this.lastReconnectionAt !== null && now - this.lastReconnectionAt < WAVE_MS;
  }

  async run(): Promise<void> {
    await Promise.all([this.listLoop(), this.fleetLoop(), this.releaseLoop()]);
  }

  // --- listing ---------------------------------------------------------------------------------

  private async listLoop(): Promise<void> {
    const { cloud, clock } = this.term.context;
    while (this.term.isActive) {
      const askedAt = clock.now();
      const listed = await cloud.listMachines();
      if (!this.term.isActive) return;
      if (listed === null) {
        await clock.sleep(1000);
        continue;
      }
      if (this.cluster.initialFleetUpTo === null) await this.findStanding(listed);
      for (const l of listed) this.learn(l);
      this.listedAt = askedAt;
      await clock.sleep(LIST_MS);
    }
  }

  /** The fleet found at the very first start is recorded once; machines are named in order of creation. */
  private async findStanding(listed: readonly ListedMachine[]): Promise<void> {
    const { store, leadership } = this.term.context;
    const found = await store.read(FLEET_KEY, 1);
    if (found.outcome === 'found') {
      this.cluster.setInitialFleet(read.string(read.asObject(found.item.value, FLEET_KEY), 'standingUpTo'));
    } else if (found.outcome === 'absent') {
      const ids = [...listed.map((l) => l.id as string), ...[...this.cluster.machines.keys()]];
      const last = ids.reduce((a, b) => (compareMachineIds(a, b) >= 0 ? a : b), '');
      const written = await store.commit(
        [leadership.leadershipCompare(), { key: FLEET_KEY, version: KEY_ABSENT }],
        [{ put: FLEET_KEY, value: { standingUpTo: last } }],
        1,
      );
      if (written.outcome === 'committed') this.cluster.setInitialFleet(last);
    }
  }

  private learn(l: ListedMachine): void {
    const m = this.cluster.registerMachine(l.id, l.type, l.zone, l.spot);
    m.isProvisioned = this.cluster.isScaledOut(l.id);
    m.isListedRunning = l.phase === 'running';
    if (m.address === '') m.address = l.address;
    if (l.phase === 'failed' && m.state !== 'gone' && m.state !== 'releasing') {
      // A failed machine stopped on its own: nothing runs there any more.
      this.cluster.removePlacementsOn(l.id, 'machine failed');
      this.releaseMachine(m, 'failed');
    }
  }

  // --- renting and returning -------------------------------------------------------------------

  /**
   * Empties draining machines, a replica of a job at a time, and in a small fleet one at a time at all:
   * none is moved while another one waits for a place.
   */
  evictReplicas(draining: readonly Machine[], now: MonotonicMs): void {
    let replicas = 0;
    let away = 0;
    const disturbed = new Set<Job>();
    for (const job of this.cluster.jobs.values()) {
      if (job.spec.kind !== 'service' || job.state !== 'active') continue;
      if (job.pendingCount > 0) return;
      replicas += job.placements.size;
      for (const p of job.placements.values())
        if (p.stopRequest !== null || (p.state !== 'running' && now - p.placedAt < 20_000)) {
          away += 1;
          disturbed.add(job);
        }
    }
    let left = Math.max(1, Math.floor(replicas / REPLICAS_PER_MOVE)) - away;
    for (const m of draining) {
      for (const { job, task } of this.cluster.tasksOn(m.id)) {
        if (left <= 0) return;
        if (job.spec.kind !== 'service' || disturbed.has(job)) continue;
        job.requestStop(task, job.spec.saveS + 1, 'drained', now);
        this.cluster.emit('due', m.id);
        disturbed.add(job);
        left -= 1;
      }
    }
  }

  private async fleetLoop(): Promise<void> {
    const { clock, leadership, machineTypes: types } = this.term.context;
    const foundBy = addMs(this.term.electedAt, failoverDiscoveryTimeoutMs(this.term.context.settings));
    while (this.term.isActive) {
      await this.signal.wait(clock, 1000);
      if (!this.term.isActive) return;
      if (this.cluster.initialFleetUpTo === null || types().length === 0 || !leadership.holdsValidLease())
        continue;
      if (!this.mayGiveBack()) continue;
      const now = clock.now();
      const target = this.demand.target();
      const consolidates = this.cluster.minimizesCost && now >= this.consolidateAt;
      if (consolidates) this.consolidateAt = addMs(now, CONSOLIDATE_MS);
      const plan = planFleet({
        types: types(),
        machines: buildFleetView(this.cluster, now, consolidates, foundBy),
        unplacedDemand: this.unmet,
        policy: {
          isCostAware: this.cluster.minimizesCost,
          isConsolidating: consolidates,
          manageableMachines: sustainableMachineCount(this.term.context.settings),
          scaleInIdleS: this.cluster.minimizesCost ? IDLE_RENTED_S : IDLE_STANDING_S,
          targetCpus: target.cpus,
          targetOnDemandCpus: target.ordinary,
          spreadsServices: this.demand.spreadsOverZones(),
          burstCpus: this.arrivals.burstCpus(),
          minQueueBootShare: this.cluster.minimizesCost ? 0.5 : 0.15,
        },
        hasCapacity: (type, zone, spot) => now >= (this.refusedUntil.get(`${type}/${zone}/${spot}`) ?? 0),
      });
      for (const id of plan.scaleIn) {
        const m = this.cluster.machines.get(id);
        if (m !== undefined && this.cluster.taskCountOn(id) === 0) this.releaseMachine(m, 'not needed');
      }
      const drained = plan.drain === null ? undefined : this.cluster.machines.get(plan.drain);
      const consolidating = [...this.cluster.machines.values()].filter(
        (x) => x.state === 'draining' && x.drainReason === CONSOLIDATED,
      );
      if (drained !== undefined && consolidating.length < this.mostEmptied())
        this.cluster.drainMachine(drained, CONSOLIDATED);
      // Work that waits takes precedence: the machine is needed after all.
      if (this.unmet.some((u) => u.isWithinLimit && u.job.spec.kind === 'service'))
        for (const m of consolidating) this.cluster.cancelDrain(m);
      await Promise.all(plan.scaleOut.map((r) => this.rent(r)));
      await clock.sleep(250);
    }
  }

  private async rent(r: ScaleOutRequest): Promise<void> {
    const { cloud, leadership, clock, log } = this.term.context;
    this.requests += 1;
    const request = {
      // Unique for ever: the token is never given twice, and the number not twice under one token.
      request: `r-${leadership.fencingToken}-${this.requests}`,
      type: r.type,
      zone: r.zone,
      spot: r.spot,
      count: Math.min(r.count, MAX_MACHINES_PER_RENTAL),
    };
    for (let attempt = 0; attempt < 3 && this.term.isActive; attempt += 1) {
      const outcome = await cloud.rent(request);
      if (!this.term.isActive) return;
      if (outcome.outcome === 'rented') {
        for (const id of outcome.machines) this.cluster.registerMachine(id, r.type, r.zone, r.spot);
        log.info({ ...request, got: outcome.machines.length }, 'machines rented');
        if (outcome.machines.length < request.count) this.noCapacity(r);
        return;
      }
      if (outcome.outcome === 'no_capacity') {
        log.debug({ ...request }, 'no capacity');
        this.noCapacity(r);
        return;
      }
      // Repeating the same name is safe: an answered request rents nothing more.
      await clock.sleep(700);
    }
  }

  private noCapacity(r: ScaleOutRequest): void {
    const until = addMs(this.term.context.clock.now(), NO_CAPACITY_MS);
    this.refusedUntil.set(`${r.type}/${r.zone}/${r.spot}`, until);
  }

  /** `atOnce`: ahead of all others that are to be released. */
  releaseMachine(m: Machine, reason: string, atOnce = false): void {
    if (m.state === 'releasing') {
      if (atOnce) this.releaseDue = [m.id, ...this.releaseDue.filter((id) => id !== m.id)];
      return;
    }
    if (m.state === 'gone') return;
    this.term.context.log.info({ machine: m.id, type: m.type, spot: m.spot, reason }, 'machine released');
    m.transitionTo('releasing');
    if (atOnce) this.releaseDue.unshift(m.id);
    else this.releaseDue.push(m.id);
  }

  private async releaseLoop(): Promise<void> {
    const { cloud, clock, workerClient: workers, leadership } = this.term.context;
    while (this.term.isActive) {
      await clock.sleep(100);
      if (this.releaseDue.length === 0 || !leadership.holdsValidLease()) continue;
      const batch = this.releaseDue.slice(0, MAX_MACHINES_PER_RELEASE);
      const released = await cloud.release(batch, 0);
      if (!this.term.isActive) return;
      if (!released) {
        await clock.sleep(400);
        continue;
      }
      this.releaseDue = this.releaseDue.filter((id) => !batch.includes(id));
      for (const id of batch) {
        const m = this.cluster.machines.get(id);
        this.cluster.removePlacementsOn(id, 'machine released');
        if (m === undefined) continue;
        m.transitionTo('gone');
        if (m.address !== '') workers.closeConnection(m.address);
      }
      this.cluster.emit('plan');
    }
  }

  /** Machines that are emptied at the same time. */
  private mostEmptied(): number {
    return Math.max(1, Math.floor(this.cluster.machines.size / MACHINES_PER_EMPTIED));
  }
}
