import type { Job, Machine } from '@spurbridge/model';
import type { Ms } from '@spurbridge/net';
import { later } from '@spurbridge/net';
import type { Rent, Unmet } from '@spurbridge/planner';
import { planFleet } from '@spurbridge/planner';
import type { ListedMachine, MachineId } from '@spurbridge/wire';
import { ABSENT, read } from '@spurbridge/wire';
import { MAX_RELEASE, MAX_RENT } from '@spurbridge/cloud';
import type { Arrivals } from './arrivals.js';
import type { Cluster } from './cluster.js';
import { compareIds } from './cluster.js';
import { Demand, fleetView } from './fleet-view.js';
import { easyMachines, unheardMs } from './settings.js';
import { Signal } from './signal.js';
import type { LeaderTerm } from './leader-term.js';

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
export class Fleet {
  private readonly signal = new Signal();
  private unmet: readonly Unmet[] = [];
  private readonly refusedUntil = new Map<string, Ms>();
  private requests = 0;
  private releaseDue: MachineId[] = [];
  private readonly demand: Demand;
  private consolidateAt = 0 as Ms;
  /** When the list that was read last was asked for. */
  listedAt: Ms | null = null;
  /** When a machine that ran something before this node led was first heard, the last time. */
  private cameInAt: Ms | null = null;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: Cluster,
    private readonly arrivals: Arrivals,
    /** Whether what is on the machines is known: none is given back as idle before. */
    private readonly mayGiveBack: () => boolean,
  ) {
    this.demand = new Demand(cluster, term.c.types);
    cluster.on('up', (m) => {
      m.rented = cluster.isRented(m.id);
      if (cluster.heldCount(m.id) > 0) this.cameInAt = term.c.clock.now();
    });
  }

  planned(unmet: readonly Unmet[]): void {
    this.unmet = unmet;
    this.demand.remember(unmet, this.term.c.clock.now());
    this.signal.raise();
  }

  /**
   * Whether workers of an earlier leader are still finding this one. Hundreds come at once, and a node
   * behind its share hears the last of them late: that says nothing against the machines.
   */
  isComingIn(now: Ms): boolean {
    return this.cameInAt !== null && now - this.cameInAt < WAVE_MS;
  }

  async run(): Promise<void> {
    await Promise.all([this.listLoop(), this.fleetLoop(), this.releaseLoop()]);
  }

  // --- listing ---------------------------------------------------------------------------------

  private async listLoop(): Promise<void> {
    const { cloud, clock } = this.term.c;
    while (this.term.active) {
      const askedAt = clock.now();
      const listed = await cloud.list();
      if (!this.term.active) return;
      if (listed === null) {
        await clock.sleep(1000);
        continue;
      }
      if (this.cluster.standingUpTo === null) await this.findStanding(listed);
      for (const l of listed) this.learn(l);
      this.listedAt = askedAt;
      await clock.sleep(LIST_MS);
    }
  }

  /** The fleet found at the very first start is recorded once; machines are named in order of creation. */
  private async findStanding(listed: readonly ListedMachine[]): Promise<void> {
    const { store, leadership } = this.term.c;
    const found = await store.read(FLEET_KEY, 1);
    if (found.outcome === 'found') {
      this.cluster.setStanding(read.str(read.asObject(found.item.value, FLEET_KEY), 'standingUpTo'));
    } else if (found.outcome === 'absent') {
      const ids = [...listed.map((l) => l.id as string), ...[...this.cluster.machines.keys()]];
      const last = ids.reduce((a, b) => (compareIds(a, b) >= 0 ? a : b), '');
      const written = await store.commit(
        [leadership.condition(), { key: FLEET_KEY, version: ABSENT }],
        [{ put: FLEET_KEY, value: { standingUpTo: last } }],
        1,
      );
      if (written.outcome === 'committed') this.cluster.setStanding(last);
    }
  }

  private learn(l: ListedMachine): void {
    const m = this.cluster.describeMachine(l.id, l.type, l.zone, l.spot);
    m.rented = this.cluster.isRented(l.id);
    m.listedRunning = l.phase === 'running';
    if (m.address === '') m.address = l.address;
    if (l.phase === 'failed' && m.state !== 'gone' && m.state !== 'releasing') {
      // A failed machine stopped on its own: nothing runs there any more.
      this.cluster.clearMachine(l.id, 'machine failed');
      this.giveBack(m, 'failed');
    }
  }

  // --- renting and returning -------------------------------------------------------------------

  /**
   * Empties draining machines, a replica of a job at a time, and in a small fleet one at a time at all:
   * none is moved while another one waits for a place.
   */
  moveReplicas(draining: readonly Machine[], now: Ms): void {
    let replicas = 0;
    let away = 0;
    const disturbed = new Set<Job>();
    for (const job of this.cluster.jobs.values()) {
      if (job.spec.kind !== 'service' || job.state !== 'active') continue;
      if (job.pendingCount > 0) return;
      replicas += job.placements.size;
      for (const p of job.placements.values())
        if (p.stop !== null || (p.state !== 'running' && now - p.placedAt < 20_000)) {
          away += 1;
          disturbed.add(job);
        }
    }
    let left = Math.max(1, Math.floor(replicas / REPLICAS_PER_MOVE)) - away;
    for (const m of draining) {
      for (const { job, task } of this.cluster.heldOn(m.id)) {
        if (left <= 0) return;
        if (job.spec.kind !== 'service' || disturbed.has(job)) continue;
        job.askStop(task, job.spec.saveS + 1, 'drained', now);
        this.cluster.emit('due', m.id);
        disturbed.add(job);
        left -= 1;
      }
    }
  }

  private async fleetLoop(): Promise<void> {
    const { clock, leadership, types } = this.term.c;
    const foundBy = later(this.term.electedAt, unheardMs(this.term.c.settings));
    while (this.term.active) {
      await this.signal.wait(clock, 1000);
      if (!this.term.active) return;
      if (this.cluster.standingUpTo === null || types().length === 0 || !leadership.holdsSurely()) continue;
      if (!this.mayGiveBack()) continue;
      const now = clock.now();
      const target = this.demand.target();
      const consolidates = this.cluster.frugal && now >= this.consolidateAt;
      if (consolidates) this.consolidateAt = later(now, CONSOLIDATE_MS);
      const plan = planFleet({
        types: types(),
        machines: fleetView(this.cluster, now, consolidates, foundBy),
        unmet: this.unmet,
        policy: {
          frugal: this.cluster.frugal,
          consolidates,
          easyMachines: easyMachines(this.term.c.settings),
          idleS: this.cluster.frugal ? IDLE_RENTED_S : IDLE_STANDING_S,
          targetCpus: target.cpus,
          targetOrdinaryCpus: target.ordinary,
          spreads: this.demand.spreads(),
          burstCpus: this.arrivals.burstCpus(),
          bootShare: this.cluster.frugal ? 0.5 : 0.15,
        },
        available: (type, zone, spot) => now >= (this.refusedUntil.get(`${type}/${zone}/${spot}`) ?? 0),
      });
      for (const id of plan.release) {
        const m = this.cluster.machines.get(id);
        if (m !== undefined && this.cluster.heldCount(id) === 0) this.giveBack(m, 'not needed');
      }
      const drained = plan.drain === null ? undefined : this.cluster.machines.get(plan.drain);
      const consolidating = [...this.cluster.machines.values()].filter(
        (x) => x.state === 'draining' && x.drainReason === CONSOLIDATED,
      );
      if (drained !== undefined && consolidating.length < this.mostEmptied())
        this.cluster.drain(drained, CONSOLIDATED);
      // Work that waits takes precedence: the machine is needed after all.
      if (this.unmet.some((u) => u.withinLimit && u.job.spec.kind === 'service'))
        for (const m of consolidating) this.cluster.undrain(m);
      await Promise.all(plan.rent.map((r) => this.rent(r)));
      await clock.sleep(250);
    }
  }

  private async rent(r: Rent): Promise<void> {
    const { cloud, leadership, clock, log } = this.term.c;
    this.requests += 1;
    const request = {
      // Unique for ever: the token is never given twice, and the number not twice under one token.
      request: `r-${leadership.token}-${this.requests}`,
      type: r.type,
      zone: r.zone,
      spot: r.spot,
      count: Math.min(r.count, MAX_RENT),
    };
    for (let attempt = 0; attempt < 3 && this.term.active; attempt += 1) {
      const outcome = await cloud.rent(request);
      if (!this.term.active) return;
      if (outcome.outcome === 'rented') {
        for (const id of outcome.machines) this.cluster.describeMachine(id, r.type, r.zone, r.spot);
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

  private noCapacity(r: Rent): void {
    const until = later(this.term.c.clock.now(), NO_CAPACITY_MS);
    this.refusedUntil.set(`${r.type}/${r.zone}/${r.spot}`, until);
  }

  /** `atOnce`: ahead of all others that are to be released. */
  giveBack(m: Machine, reason: string, atOnce = false): void {
    if (m.state === 'releasing') {
      if (atOnce) this.releaseDue = [m.id, ...this.releaseDue.filter((id) => id !== m.id)];
      return;
    }
    if (m.state === 'gone') return;
    this.term.c.log.info({ machine: m.id, type: m.type, spot: m.spot, reason }, 'machine released');
    m.enter('releasing');
    if (atOnce) this.releaseDue.unshift(m.id);
    else this.releaseDue.push(m.id);
  }

  private async releaseLoop(): Promise<void> {
    const { cloud, clock, workers, leadership } = this.term.c;
    while (this.term.active) {
      await clock.sleep(100);
      if (this.releaseDue.length === 0 || !leadership.holdsSurely()) continue;
      const batch = this.releaseDue.slice(0, MAX_RELEASE);
      const released = await cloud.release(batch, 0);
      if (!this.term.active) return;
      if (!released) {
        await clock.sleep(400);
        continue;
      }
      this.releaseDue = this.releaseDue.filter((id) => !batch.includes(id));
      for (const id of batch) {
        const m = this.cluster.machines.get(id);
        this.cluster.clearMachine(id, 'machine released');
        if (m === undefined) continue;
        m.enter('gone');
        if (m.address !== '') workers.forgetAddress(m.address);
      }
      this.cluster.emit('plan');
    }
  }

  /** Machines that are emptied at the same time. */
  private mostEmptied(): number {
    return Math.max(1, Math.floor(this.cluster.machines.size / MACHINES_PER_EMPTIED));
  }
}
