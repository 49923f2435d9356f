/** A binary heap: the least element by `compare` is on top. */
export class BinaryHeap<T> {
  private readonly items: T[] = [];

  constructor(private readonly compare: (a: T, b: T) => number) {}

  isBefore(a: T, b: T): boolean {
    return this.compare(a, b) < 0;
  }

  peek(): T | undefined {
    return this.items[0];
  }

  push(item: T): void {
    let at = this.items.push(item) - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      const above = this.items[parent] as T;
      if (this.compare(item, above) >= 0) break;
      this.items[at] = above;
      at = parent;
    }
    this.items[at] = item;
  }

  pop(): T | undefined {
    const { items } = this;
    const top = items[0];
    const item = items.pop();
    if (item === undefined || items.length === 0) return top;
    let at = 0;
    for (;;) {
      let child = at * 2 + 1;
      if (child >= items.length) break;
      if (child + 1 < items.length && this.compare(items[child + 1] as T, items[child] as T) < 0) child += 1;
      if (this.compare(items[child] as T, item) >= 0) break;
      items[at] = items[child] as T;
      at = child;
    }
    items[at] = item;
    return top;
  }
}

/** The same for numbers alone: the planner makes one for every job that it looks at. */
export class NumberHeap {
  private readonly items: number[] = [];

  peek(): number | undefined {
    return this.items[0];
  }

  push(item: number): void {
    const { items } = this;
    let at = items.push(item) - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      const above = items[parent] as number;
      if (item >= above) break;
      items[at] = above;
      at = parent;
    }
    items[at] = item;
  }

  replaceTop(item: number): void {
    this.items[0] = item;
    this.sink(0);
  }

  pop(): void {
    const last = this.items.pop();
    if (last !== undefined && this.items.length > 0) this.replaceTop(last);
  }

  private sink(from: number): void {
    const { items } = this;
    const item = items[from] as number;
    const size = items.length;
    let at = from;
    for (;;) {
      let child = at * 2 + 1;
      if (child >= size) break;
      let least = items[child] as number;
      const right = items[child + 1];
      if (right !== undefined && right < least) {
        child += 1;
        least = right;
      }
      if (least >= item) break;
      items[at] = least;
      at = child;
    }
    items[at] = item;
  }
}
