/**
 * Keeps the process within the memory that the settings file states. V8's own heap limit is fixed when the process
 * starts, before the settings are read; how far the heap may grow between collections can be set at any time.
 *
 * @module
 */
import { getHeapStatistics, setFlagsFromString } from 'node:v8';

/** Conservative allowance for the memory outside the heap: code, stacks and socket buffers. */
const NON_HEAP_MB = 46;
/** Size of the young generation: three semi-spaces, by `--max-semi-space-size=6` of the start command. */
const YOUNG_GENERATION_MB = 18;
/** V8 lets the old generation grow by at least this much before it collects it. */
const MIN_GROWTH_PERCENT = 5;
/** V8 collects the old generation at the latest when it has doubled. */
const MAX_GROWTH_PERCENT = 100;
/** Smaller changes of the growth are ignored, to avoid setting the V8 flag at every sample. */
const MIN_GROWTH_CHANGE_PERCENT = 3;
const SAMPLE_INTERVAL_MS = 1000;
/** Number of samples kept: enough that one of them was taken shortly after a collection. */
const SAMPLE_COUNT = 20;
const BYTES_PER_MB = 1e6;

/**
 * Returns by how many percent the old generation may grow beyond the live objects before it is collected, so that the
 * whole process stays within its memory.
 *
 * @param liveMb - size of the live objects, in megabytes
 * @param memoryMb - memory of the process, in megabytes
 */
export function heapGrowth(liveMb: number, memoryMb: number): number {
  const oldGenerationMb = memoryMb - NON_HEAP_MB - YOUNG_GENERATION_MB;
  const growthPercent = Math.floor((oldGenerationMb / Math.max(1, liveMb) - 1) * 100);
  return Math.max(MIN_GROWTH_PERCENT, Math.min(MAX_GROWTH_PERCENT, growthPercent));
}

/** Adapts how far the heap may grow between collections to the size of the live objects. */
export class HeapGovernor {
  /** Megabytes in use at the last samples. */
  private readonly samplesMb: number[] = [];
  private growthPercent = 0;

  /**
   * @param memoryMb - memory of the process, in megabytes
   * @param setGrowth - sets the growth that V8 allows, in percent
   * @param usedBytes - returns the heap usage, in bytes
   */
  constructor(
    private readonly memoryMb: number,
    private readonly setGrowth: (percent: number) => void = setHeapGrowingPercent,
    private readonly usedBytes: () => number = () => getHeapStatistics().used_heap_size,
  ) {}

  /** Takes a sample, and sets the growth if it has changed. */
  sample(): void {
    this.samplesMb.push(this.usedBytes() / BYTES_PER_MB);
    if (this.samplesMb.length > SAMPLE_COUNT) this.samplesMb.shift();
    const liveMb = Math.min(...this.samplesMb);
    const growthPercent = heapGrowth(liveMb, this.memoryMb);
    if (Math.abs(growthPercent - this.growthPercent) < MIN_GROWTH_CHANGE_PERCENT) return;
    this.growthPercent = growthPercent;
    this.setGrowth(growthPercent);
  }

  /** Takes a sample now and every second, for as long as the process runs. */
  start(): void {
    this.sample();
    setInterval(() => {
      this.sample();
    }, SAMPLE_INTERVAL_MS).unref();
  }
}

function setHeapGrowingPercent(percent: number): void {
  setFlagsFromString(`--heap-growing-percent=${percent}`);
}
