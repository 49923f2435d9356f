import type { Job, Machine } from '@spurbridge/model';
import type { Ms } from '@spurbridge/net';
import { later } from '@spurbridge/net';
import type { Beside, FleetMachine, Rent, Replica, Unmet } from '@spurbridge/planner';
import { effectiveCpus, planFleet } from '@spurbridge/planner';
import type { ListedMachine, MachineId } from '@spurbridge/wire';
import { ABSENT, read } from '@spurbridge/wire';
import { MAX_RELEASE, MAX_RENT } from '@spurbridge/cloud';
import type { Leader } from './leader.js';
import { isUnreachable } from './leader.js';
import { easyMachines, longestReportMs, silentAfterMs } from './settings.js';
import { Signal } from './signal.js';

export const FLEET_KEY = 'fleet';
const LIST_MS = 3000;
const NO_CAPACITY_MS = 15_000;
/** A machine not up after this many times its usual boot time is given back. */
const BOOT_PATIENCE = 3;
/** Found silent, a machine is released this much later: that proves its tasks gone sooner than the lease. */
const SILENT_RELEASE_MS = 1500;
/** Silence of this share of the machines points at our own network. */
const MASS_SHARE = 0.5;
const MASS_MS = 1500;
/** None of at least so many workers heard, for this long and for so many usual intervals. */
const DEAF_LEAST = 10;
const DEAF_MS = 2000;
const DEAF_REPORTS = 12;
/** After a takeover, workers find the new leader with their next report, or with the one after. */
const FIND_MS = 3250;
const PEAK_WINDOW_MS = 40_000;
const IDLE_RENTED_S = 25;
const IDLE_STANDING_S = 600;
const HEADROOM = 1.1;
/** Room kept for replicas of a lost machine, at most this share of what services use. */
const RESERVE_SHARE = 0.1;
/** A replica is not moved again before this: a start that is stopped soon after does not count. */
const SETTLED_MS = 45_000;
const REPLICAS_PER_MOVE = 250;
const MACHINES_PER_EMPTIED = 100;
const WAVE_MS = 1000;
const CONSOLIDATE_MS = 1000;
const CONSOLIDATED = 'consolidated';

/** Rents, returns and watches over machines, for as long as its leader leads. */
export class Fleet {
  private readonly signal = new Signal();
  /** Machines up to this id stood there before the service first ran: its owners' choice, kept. */
  private standingUpTo: string | null = null;
  private unmet: readonly Unmet[] = [];
  private readonly refusedUntil = new Map<string, Ms>();
  private requests = 0;
  private releaseDue: MachineId[] = [];
  private readonly demand: { at: Ms; cpus: number; ordinary: number }[] = [];
  private massSince: Ms | null = null;
  private consolidateAt = 0 as Ms;
  private wasDeaf = false;
  /** When a machine that ran something before this node led was first heard, the last time. */
  private cameInAt: Ms | null = null;

  constructor(private readonly leader: Leader) {}

  isRented(id: MachineId): boolean {
    return this.standingUpTo !== null && compareIds(id, this.standingUpTo) > 0;
  }

  planned(unmet: readonly Unmet[]): void {
    this.unmet = unmet;
    this.remember();
    this.signal.raise();
  }

  cameUp(m: Machine, now: Ms): void {
    m.rented = this.isRented(m.id);
    if (this.leader.heldCount(m.id) > 0) this.cameInAt = now;
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
    const { cloud, clock } = this.leader.c;
    while (this.leader.active) {
      const listed = await cloud.list();
      if (!this.leader.active) return;
      if (listed === null) {
        await clock.sleep(1000);
        continue;
      }
      if (this.standingUpTo === null) await this.findStanding(listed);
      for (const l of listed) this.learn(l);
      await clock.sleep(LIST_MS);
    }
  }

  /** The fleet found at the very first start is recorded once; machines are named in order of creation. */
  private async findStanding(listed: readonly ListedMachine[]): Promise<void> {
    const { store, leadership } = this.leader.c;
    const found = await store.read(FLEET_KEY, 1);
    if (found.outcome === 'found') {
      this.standingUpTo = read.str(read.asObject(found.item.value, FLEET_KEY), 'standingUpTo');
    } else if (found.outcome === 'absent') {
      const ids = [...listed.map((l) => l.id as string), ...[...this.leader.machines.keys()]];
      const last = ids.reduce((a, b) => (compareIds(a, b) >= 0 ? a : b), '');
      const written = await store.commit(
        [leadership.condition(), { key: FLEET_KEY, version: ABSENT }],
        [{ put: FLEET_KEY, value: { standingUpTo: last } }],
        1,
      );
      if (written.outcome === 'committed') this.standingUpTo = last;
    }
    for (const m of this.leader.machines.values()) m.rented = this.isRented(m.id);
  }

  private learn(l: ListedMachine): void {
    const m = this.leader.describeMachine(l.id, l.type, l.zone, l.spot);
    m.rented = this.isRented(l.id);
    if (m.address === '') m.address = l.address;
    if (l.phase === 'failed' && m.state !== 'gone' && m.state !== 'releasing') {
      // A failed machine stopped on its own: nothing runs there any more.
      this.leader.clearMachine(l.id, 'machine failed');
      this.giveBack(m, 'failed');
    }
  }

  // --- renting and returning -------------------------------------------------------------------

  private remember(): void {
    const now = this.leader.c.clock.now();
    let cpus = 0;
    let ordinary = 0;
    const types = this.leader.c.types();
    for (const job of this.leader.jobs.values())
      if (job.placements.size > 0) {
        const needed = job.placements.size * effectiveCpus(job.spec, types);
        cpus += needed;
        if (!job.spec.spot) ordinary += needed;
      }
    for (const u of this.unmet)
      if (u.withinLimit) {
        const needed = u.tasks * effectiveCpus(u.job.spec, types);
        cpus += needed;
        if (!u.job.spec.spot) ordinary += needed;
      }
    this.demand.push({ at: now, cpus, ordinary });
    while ((this.demand[0]?.at ?? now) < now - PEAK_WINDOW_MS) this.demand.shift();
  }

  private target(): { cpus: number; ordinary: number } {
    let cpus = 0;
    let ordinary = 0;
    for (const d of this.demand) {
      cpus += d.cpus;
      ordinary = Math.max(ordinary, d.ordinary);
    }
    return {
      cpus: (cpus / Math.max(1, this.demand.length)) * HEADROOM,
      ordinary: ordinary * HEADROOM + Math.min(this.reserve(), ordinary * RESERVE_SHARE),
    };
  }

  /** What the loss of one machine would leave without a place: the most that services hold on one. */
  private reserve(): number {
    let most = 0;
    const types = this.leader.c.types();
    for (const m of this.leader.machines.values()) {
      if (m.spot || m.state !== 'ready') continue;
      let cpus = 0;
      for (const { job } of this.leader.heldOn(m.id))
        if (job.spec.kind === 'service') cpus += effectiveCpus(job.spec, types);
      most = Math.max(most, cpus);
    }
    return most;
  }

  private view(now: Ms, consolidates: boolean): FleetMachine[] {
    const machines: FleetMachine[] = [];
    const beside = new Map<Job, Beside | null>();
    for (const m of this.leader.machines.values()) {
      const type = this.leader.type(m.type);
      if (type === undefined || m.state === 'gone' || m.state === 'releasing') continue;
      let usedCpus = 0;
      let usedGpus = 0;
      let usedMemoryGb = 0;
      let settled = true;
      const replicas: Replica[] = [];
      for (const { job, task } of this.leader.heldOn(m.id)) {
        usedCpus += job.spec.cpus;
        usedGpus += job.spec.gpus;
        usedMemoryGb += job.spec.memoryGb;
        if (job.spec.kind === 'gang') settled = false;
        if (job.spec.kind !== 'service' || !consolidates) continue;
        let b = beside.get(job);
        if (b === undefined) {
          b = this.beside(job);
          beside.set(job, b);
        }
        replicas.push({ ...job.spec, beside: b });
        const p = job.placements.get(task);
        if (p?.runningAt === null || p?.stop !== null || now - p.runningAt < SETTLED_MS) settled = false;
      }
      machines.push({
        id: m.id,
        type,
        zone: m.zone,
        spot: m.spot,
        booting: m.state === 'booting',
        returnable: m.rented || this.standingUpTo === '',
        idleS: m.idleSince === null ? 0 : (now - m.idleSince) / 1000,
        usedCpus,
        usedGpus,
        usedMemoryGb,
        takesTasks: m.takesTasks,
        images: m.images,
        replicas,
        settled,
      });
    }
    return machines;
  }

  private beside(job: Job): Beside | null {
    const { spec } = job;
    if (!spec.spread && !spec.oneZone) return null;
    const held = new Map<string, number>();
    for (const p of job.placements.values()) {
      const zone = this.leader.machines.get(p.machine)?.zone ?? '';
      held.set(zone, (held.get(zone) ?? 0) + 1);
    }
    return { held, most: spec.spread ? Math.ceil(spec.tasks / 2) : Infinity, oneZone: spec.oneZone };
  }

  /**
   * Empties draining machines, a replica of a job at a time, and in a small fleet one at a time at all:
   * none is moved while another one waits for a place.
   */
  private moveReplicas(draining: readonly Machine[], now: Ms): void {
    let replicas = 0;
    let away = 0;
    const disturbed = new Set<Job>();
    for (const job of this.leader.jobs.values()) {
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
      for (const { job, task } of this.leader.heldOn(m.id)) {
        if (left <= 0) return;
        if (job.spec.kind !== 'service' || disturbed.has(job)) continue;
        job.askStop(task, job.spec.saveS + 1, 'drained', now);
        this.leader.push(m.id);
        disturbed.add(job);
        left -= 1;
      }
    }
  }

  /** A service that started with no machines rents all of them for its work: money is weighed. */
  get frugal(): boolean {
    return this.standingUpTo === '';
  }

  private async fleetLoop(): Promise<void> {
    const { clock, leadership, types } = this.leader.c;
    while (this.leader.active) {
      await this.signal.wait(clock, 1000);
      if (!this.leader.active) return;
      if (this.standingUpTo === null || types().length === 0 || !leadership.holdsSurely()) continue;
      const now = clock.now();
      const target = this.target();
      const consolidates = this.frugal && now >= this.consolidateAt;
      if (consolidates) this.consolidateAt = later(now, CONSOLIDATE_MS);
      const plan = planFleet({
        types: types(),
        machines: this.view(now, consolidates),
        unmet: this.unmet,
        policy: {
          frugal: this.frugal,
          consolidates,
          easyMachines: easyMachines(this.leader.c.settings),
          idleS: this.frugal ? IDLE_RENTED_S : IDLE_STANDING_S,
          targetCpus: target.cpus,
          targetOrdinaryCpus: target.ordinary,
          bootShare: this.frugal ? 0.5 : 0.15,
        },
        available: (type, zone, spot) => now >= (this.refusedUntil.get(`${type}/${zone}/${spot}`) ?? 0),
      });
      for (const id of plan.release) {
        const m = this.leader.machines.get(id);
        if (m !== undefined && this.leader.heldCount(id) === 0) this.giveBack(m, 'not needed');
      }
      const drained = plan.drain === null ? undefined : this.leader.machines.get(plan.drain);
      const consolidating = [...this.leader.machines.values()].filter(
        (x) => x.state === 'draining' && x.drainReason === CONSOLIDATED,
      );
      if (drained !== undefined && consolidating.length < this.mostEmptied())
        this.leader.drain(drained, CONSOLIDATED);
      // Work that waits takes precedence: the machine is needed after all.
      if (this.unmet.some((u) => u.withinLimit && u.job.spec.kind === 'service'))
        for (const m of consolidating) this.leader.undrain(m);
      await Promise.all(plan.rent.map((r) => this.rent(r)));
      await clock.sleep(250);
    }
  }

  private async rent(r: Rent): Promise<void> {
    const { cloud, leadership, clock, log } = this.leader.c;
    this.requests += 1;
    const request = {
      // Unique for ever: the token is never given twice, and the number not twice under one token.
      request: `r-${leadership.token}-${this.requests}`,
      type: r.type,
      zone: r.zone,
      spot: r.spot,
      count: Math.min(r.count, MAX_RENT),
    };
    for (let attempt = 0; attempt < 3 && this.leader.active; attempt += 1) {
      const outcome = await cloud.rent(request);
      if (!this.leader.active) return;
      if (outcome.outcome === 'rented') {
        for (const id of outcome.machines) this.leader.describeMachine(id, r.type, r.zone, r.spot);
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
    const until = later(this.leader.c.clock.now(), NO_CAPACITY_MS);
    this.refusedUntil.set(`${r.type}/${r.zone}/${r.spot}`, until);
  }

  giveBack(m: Machine, reason: string): void {
    if (m.state === 'releasing' || m.state === 'gone') return;
    this.leader.c.log.info({ machine: m.id, type: m.type, spot: m.spot, reason }, 'machine released');
    m.enter('releasing');
    this.releaseDue.push(m.id);
  }

  private async releaseLoop(): Promise<void> {
    const { cloud, clock, workers, leadership } = this.leader.c;
    while (this.leader.active) {
      await clock.sleep(100);
      if (this.releaseDue.length === 0 || !leadership.holdsSurely()) continue;
      const batch = this.releaseDue.slice(0, MAX_RELEASE);
      const released = await cloud.release(batch, 0);
      if (!this.leader.active) return;
      if (!released) {
        await clock.sleep(400);
        continue;
      }
      this.releaseDue = this.releaseDue.filter((id) => !batch.includes(id));
      for (const id of batch) {
        const m = this.leader.machines.get(id);
        this.leader.clearMachine(id, 'machine released');
        if (m === undefined) continue;
        m.enter('gone');
        if (m.address !== '') workers.forgetAddress(m.address);
      }
      this.leader.requestPlan();
    }
  }

  /** Machines that never came up, are silent, or have drained. */
  sweep(now: Ms): void {
    const silent: Machine[] = [];
    const wave = this.isComingIn(now);
    const leaseMs = this.leader.c.settings.workers.leaseS * 1000;
    const draining: Machine[] = [];
    let heard = 0;
    for (const m of this.leader.machines.values()) {
      if (m.state === 'booting') {
        // It was up under an earlier leader: not hearing it may be this node's own fault.
        const unheardMs = now - m.firstSeen;
        const suspect = unheardMs > this.unheardMs() && (!wave || unheardMs > leaseMs);
        if (this.leader.heldCount(m.id) > 0 && suspect) silent.push(m);
        else this.sweepBooting(m, now);
      } else if (m.state === 'silent') silent.push(m);
      else if (m.state === 'ready') heard += 1;
      else if (m.state === 'draining' && this.leader.heldCount(m.id) === 0 && m.goneBy === null)
        this.giveBack(m, m.drainReason);
      else if (m.state === 'draining' && m.goneBy === null) draining.push(m);
    }
    if (draining.length > 0) this.moveReplicas(draining, now);
    if (this.isDeaf(heard, now)) return this.resign('no worker is heard: the fault is here');
    const mass = silent.length >= 3 && silent.length >= (silent.length + heard) * MASS_SHARE;
    if (!mass) this.massSince = null;
    else {
      this.massSince ??= now;
      // So many at once: more likely it is this node that cannot reach them. Another may lead.
      if (now - this.massSince < MASS_MS) return;
      if (this.leader.c.leadership.mayResign())
        return this.resign('most machines are silent: the fault may be here');
    }
    for (const m of silent) {
      const last = m.heardAt ?? m.firstSeen;
      const patienceMs =
        m.state === 'booting'
          ? this.unheardMs() + 6000
          : silentAfterMs(this.leader.c.settings) + SILENT_RELEASE_MS;
      if ((now - last > patienceMs && isUnreachable(m)) || m.goneBy !== null) this.giveBack(m, 'silent');
    }
  }

  /**
   * Whether this node hears none of many workers. Each reports on its own, so that hundreds of them fall
   * silent within a second or two only for a fault of this node's: it need not wait for each to be late.
   */
  private isDeaf(heard: number, now: Ms): boolean {
    const { settings, leadership } = this.leader.c;
    const expectedMs = longestReportMs(settings) / Math.max(1, heard);
    const quietMs = now - (this.leader.lastReportAt ?? now);
    const deaf = heard >= DEAF_LEAST && quietMs > Math.max(DEAF_MS, expectedMs * DEAF_REPORTS);
    // Twice in a row: what came while this process was held up is read between two sweeps.
    const again = deaf && this.wasDeaf;
    this.wasDeaf = deaf;
    return again && leadership.mayResign();
  }

  private resign(reason: string): void {
    const { leadership, log } = this.leader.c;
    leadership.resign(reason).catch((e: unknown) => {
      log.error({ error: String(e) }, 'resigning failed');
    });
  }

  /** Machines that are emptied at the same time. */
  private mostEmptied(): number {
    return Math.max(1, Math.floor(this.leader.machines.size / MACHINES_PER_EMPTIED));
  }

  private unheardMs(): number {
    return longestReportMs(this.leader.c.settings) + FIND_MS;
  }

  private sweepBooting(m: Machine, now: Ms): void {
    const bootS = this.leader.type(m.type)?.bootS ?? 60;
    if (now - m.firstSeen > bootS * 1000 * BOOT_PATIENCE + 5000) this.giveBack(m, 'never came up');
  }
}

/** Names are in order of creation; a longer name is a later one. */
export function compareIds(a: string, b: string): number {
  return a.length - b.length || (a < b ? -1 : a > b ? 1 : 0);
}
