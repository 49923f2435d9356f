/**
 * The machine types that the cloud offers.
 *
 * @module
 */
import type { CloudProvider } from '@spurbridge/cloud';
import type { Clock } from '@spurbridge/net';
import type { MachineType } from '@spurbridge/wire';
import type { Logger } from '../logger.js';

const REFRESH_INTERVAL_MS = 60_000;
const RETRY_INTERVAL_MS = 700;

/** Tells the catalog whether this controller leads. */
export interface LeaderPresence {
  /** Whether a leader runs in this process. */
  hasLeader(): boolean;
}

/**
 * Reads the machine types from the cloud. They are read at the start and refreshed periodically, because prices change.
 */
export class MachineTypeCatalog {
  private knownTypes: readonly MachineType[] = [];

  constructor(
    private readonly cloud: CloudProvider,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly role: LeaderPresence,
  ) {}

  /** The types as the cloud last described them; empty until they are known. */
  get types(): readonly MachineType[] {
    return this.knownTypes;
  }

  /** Whether any type is known. */
  get isKnown(): boolean {
    return this.knownTypes.length > 0;
  }

  /** Reads and refreshes the types until the process ends. */
  async run(): Promise<never> {
    for (;;) {
      // Only a leader needs current prices; the other controllers need the types alone.
      if (!this.isKnown || this.role.hasLeader()) {
        try {
          const types = await this.cloud.listMachineTypes();
          if (types !== null) this.knownTypes = types;
        } catch (error) {
          this.log.error({ error: String(error) }, 'machine types cannot be read');
        }
      }
      await this.clock.sleep(this.isKnown ? REFRESH_INTERVAL_MS : RETRY_INTERVAL_MS);
    }
  }
}
