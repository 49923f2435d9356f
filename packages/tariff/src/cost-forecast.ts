/**
 * Cost of CPU time over the coming hours, by the tariff.
 *
 * @module
 */
import type { WallClockMs } from '@spurbridge/model';
import type { TariffDocument } from '@spurbridge/wire';
import type { PriceSeries } from './calendar.js';
import { expandTariff } from './calendar.js';

/** Maximum age of a cached forecast before it is recomputed. */
const MAX_AGE_MS = 600_000;
/** A forecast extends this far beyond the requested time, so that it can be reused. */
const EXTRA_MS = 2 * 3600 * 1000;
/** Represents all zones while none is known. */
const ANY_ZONE = '*';
/** Price and carbon are normalised by their typical values, which must not be zero. */
const MIN_USUAL = 1e-9;

/**
 * Cost of a CPU second over time, a weighted combination of price and carbon; index 0 is the mean of the
 * zones.
 */
export interface CostForecast {
  readonly starts: readonly WallClockMs[];
  readonly until: WallClockMs;
  readonly cost: readonly Float64Array[];
}

/** The operators' settings about costs. */
export interface CostOptions {
  /** 0: price alone; 1: carbon alone. */
  readonly carbonShare: number;
  /** Seconds beyond a document's validity for which its recurring windows still count. */
  readonly windowExtensionS: number;
}

interface CachedForecast {
  readonly document: TariffDocument;
  readonly madeAt: WallClockMs;
  readonly forecast: CostForecast;
}

/**
 * Forecasts costs from the document alone, independent of when the feed last responded, so that every leader
 * computes the same: the stated prices until its validity ends, its recurring windows for some time beyond,
 * then unknown.
 */
export class CostForecaster {
  private cached: CachedForecast | null = null;

  constructor(private readonly options: CostOptions) {}

  /** Costs in each of the zones from `now` to `until` at least. */
  costs(
    document: TariffDocument,
    zones: readonly string[],
    now: WallClockMs,
    until: WallClockMs,
  ): CostForecast {
    const { cached } = this;
    if (
      cached !== null &&
      cached.document === document &&
      now >= cached.madeAt &&
      now - cached.madeAt < MAX_AGE_MS &&
      cached.forecast.until >= until &&
      cached.forecast.cost.length === zones.length + 1
    )
      return cached.forecast;
    const end = (Math.max(until, now) + EXTRA_MS) as WallClockMs;
    const known = zones.length > 0 ? zones : [ANY_ZONE];
    const series = expandTariff(document, known, now, end, this.options.windowExtensionS);
    const forecast = this.weigh(document, series);
    this.cached = { document, madeAt: now, forecast };
    return forecast;
  }

  private weigh(document: TariffDocument, series: PriceSeries): CostForecast {
    const carbonShare = document.base.carbon > 0 ? this.options.carbonShare : 0;
    const usualPrice = Math.max(Math.abs(document.base.price), MIN_USUAL);
    const usualCarbon = Math.max(document.base.carbon, MIN_USUAL);
    const zones = series.price.map((prices, zone) => {
      const carbon = series.carbon[zone] as Float64Array;
      return prices.map(
        (price, piece) =>
          (1 - carbonShare) * (price / usualPrice) + carbonShare * ((carbon[piece] as number) / usualCarbon),
      );
    });
    const mean = new Float64Array(series.starts.length);
    for (const zone of zones)
      zone.forEach((cost, piece) => {
        mean[piece] = (mean[piece] as number) + cost / zones.length;
      });
    return { starts: series.starts, until: series.until, cost: [mean, ...zones] };
  }
}
