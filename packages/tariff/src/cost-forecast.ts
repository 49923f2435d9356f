/**
 * Cost of CPU time over the coming hours, by the tariff.
 *
 * @module
 */
import type { WallClockMs } from '@spurbridge/model';
import type { TariffDocument } from '@spurbridge/wire';
import type { PriceSeries } from './calendar.js';
import { expandTariff } from './calendar.js';

/** A forecast is made anew after this time. */
const MAX_AGE_MS = 600_000;
/** A forecast reaches this far beyond what was asked for. */
const EXTRA_MS = 2 * 3600 * 1000;
/** Stands for all zones where none is known. */
const ANY_ZONE = '*';
/** Prices and carbon are weighed by their usual values, which must not be zero. */
const MIN_USUAL = 1e-9;

/**
 * Cost of a CPU second over time, price and carbon weighed into one figure; index 0 is the mean of the zones.
 */
export interface CostForecast {
  readonly starts: readonly WallClockMs[];
  readonly until: WallClockMs;
  readonly cost: readonly Float64Array[];
}

/** What operators state about costs. */
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
 * Forecasts costs. It goes by the document alone, not by when the feed last responded, so that every leader
 * sees the same: what the document states until its validity ends, its recurring windows for a while beyond,
 * and then nothing.
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
