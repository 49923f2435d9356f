import { getHeapStatistics, setFlagsFromString } from 'node:v8';

/** What a controller holds beside its heap: code, stacks, socket buffers. An estimate, on the safe side; not measured apart. */
const BESIDE_HEAP_MB = 46;
/** The young generation, by `--max-semi-space-size=6` of the start line: three halves. */
const YOUNG_MB = 18;
/** V8 lets the old generation grow by at least this share before it collects, and by no more than it doubles. */
const LEAST_GROWTH = 5;
const MOST_GROWTH = 100;
/** Growth is not set anew for less than this many percent of difference. */
const WORTH_SETTING = 3;
const SAMPLE_MS = 1000;
/** What lives is the least that was used within this many samples: a collection lies between them. */
const SAMPLES = 20;
const MB = 1e6;

/**
 * By how many percent the old generation may grow over what lives before it is collected, so that the whole process
 * stays within `memoryMb`.
 */
export function heapGrowth(liveMb: number, memoryMb: number): number {
  const oldMb = memoryMb - BESIDE_HEAP_MB - YOUNG_MB;
  const growth = Math.floor((oldMb / Math.max(1, liveMb) - 1) * 100);
  return Math.max(LEAST_GROWTH, Math.min(MOST_GROWTH, growth));
}

/**
 * Keeps the process within the memory that the platform gives it, and uses what there is: V8's own limit is fixed when a
 * process starts, before the settings are read, while its growth between collections can be set at any time.
 */
export class HeapGovernor {
  private readonly used: number[] = [];
  private growth = 0;

  constructor(
    private readonly memoryMb: number,
    /** Sets V8's growth, in percent. */
    private readonly set: (percent: number) => void = setGrowth,
    /** Bytes of the heap in use. */
    private readonly usedBytes: () => number = () => getHeapStatistics().used_heap_size,
  ) {}

  /** Looks once, and sets the growth where it has changed. */
  sample(): void {
    this.used.push(this.usedBytes() / MB);
    if (this.used.length > SAMPLES) this.used.shift();
    const growth = heapGrowth(Math.min(...this.used), this.memoryMb);
    if (Math.abs(growth - this.growth) < WORTH_SETTING) return;
    this.growth = growth;
    this.set(growth);
  }

  /** Looks every second, for as long as the process runs. */
  start(): void {
    this.sample();
    setInterval(() => {
      this.sample();
    }, SAMPLE_MS).unref();
  }
}

function setGrowth(percent: number): void {
  setFlagsFromString(`--heap-growing-percent=${percent}`);
}
