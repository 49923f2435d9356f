import type { WallClockMs } from '@spurbridge/model';
import type { TariffDocument } from '@spurbridge/wire';
import type { PriceSeries } from './calendar.js';
import { expandTariff } from './calendar.js';

const AGAIN_MS = 600_000;
const BEYOND_MS = 2 * 3600 * 1000;

/** Cost of a CPU second over time, price and carbon weighed into one figure; index 0 is the mean of the zones. */
export interface CostForecast {
  readonly starts: readonly WallClockMs[];
  readonly until: WallClockMs;
  readonly cost: readonly Float64Array[];
}

/**
 * The tariff over the coming hours. It degrades by the document alone, not by when it was last heard of, so
 * that every leader sees the same: what it states until its validity ends, its recurring windows for a while
 * beyond, and then nothing.
 */
export class CostForecaster {
  private held: { readonly doc: TariffDocument; readonly from: number; readonly costs: CostForecast } | null =
    null;

  constructor(
    private readonly o: {
      /** 0: price alone; 1: carbon alone. */
      readonly carbonShare: number;
      /** Seconds beyond a document's validity for which its recurring windows are believed. */
      readonly patternS: number;
    },
  ) {}

  costs(doc: TariffDocument, zones: readonly string[], now: WallClockMs, until: WallClockMs): CostForecast {
    const h = this.held;
    if (
      h !== null &&
      h.doc === doc &&
      now >= h.from &&
      now - h.from < AGAIN_MS &&
      h.costs.until >= until &&
      h.costs.cost.length === zones.length + 1
    )
      return h.costs;
    const end = (Math.max(until, now) + BEYOND_MS) as WallClockMs;
    const costs = this.weigh(
      doc,
      expandTariff(doc, zones.length > 0 ? zones : ['*'], now, end, this.o.patternS),
    );
    this.held = { doc, from: now, costs };
    return costs;
  }

  private weigh(doc: TariffDocument, s: PriceSeries): CostForecast {
    const share = doc.base.carbon > 0 ? this.o.carbonShare : 0;
    const usualPrice = Math.max(Math.abs(doc.base.price), 1e-9);
    const usualCarbon = Math.max(doc.base.carbon, 1e-9);
    const zones = s.price.map((price, z) => {
      const carbon = s.carbon[z] as Float64Array;
      return price.map(
        (p, i) => (1 - share) * (p / usualPrice) + share * ((carbon[i] as number) / usualCarbon),
      );
    });
    const mean = new Float64Array(s.starts.length);
    for (const zone of zones)
      zone.forEach((c, i) => {
        mean[i] = (mean[i] as number) + c / zones.length;
      });
    return { starts: s.starts, until: s.until, cost: [mean, ...zones] };
  }
}
