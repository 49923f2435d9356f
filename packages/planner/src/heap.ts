/**
 * A binary heap.
 *
 * @module
 */

/** A binary heap; the least element according to `compare` is on top. */
export class BinaryHeap<Element> {
  private readonly elements: Element[] = [];

  constructor(private readonly compare: (first: Element, second: Element) => number) {}

  /** Whether the first element is less than the second. */
  isBefore(first: Element, second: Element): boolean {
    return this.compare(first, second) < 0;
  }

  /** The least element; undefined when the heap is empty. */
  peek(): Element | undefined {
    return this.elements[0];
  }

  /** Adds an element. */
  push(element: Element): void {
    const { elements } = this;
    let index = elements.push(element) - 1;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = elements[parentIndex] as Element;
      if (this.compare(element, parent) >= 0) break;
      elements[index] = parent;
      index = parentIndex;
    }
    elements[index] = element;
  }

  /** Removes and returns the least element; undefined when the heap is empty. */
  pop(): Element | undefined {
    const { elements } = this;
    const top = elements[0];
    const last = elements.pop();
    if (last !== undefined && elements.length > 0) this.siftDown(last);
    return top;
  }

  /** Replaces the least element and restores the heap order. */
  private siftDown(element: Element): void {
    const { elements } = this;
    let index = 0;
    for (;;) {
      let childIndex = index * 2 + 1;
      if (childIndex >= elements.length) break;
      const rightIndex = childIndex + 1;
      const isRightLess =
        rightIndex < elements.length &&
        this.compare(elements[rightIndex] as Element, elements[childIndex] as Element) < 0;
      if (isRightLess) childIndex = rightIndex;
      const child = elements[childIndex] as Element;
      if (this.compare(child, element) >= 0) break;
      elements[index] = child;
      index = childIndex;
    }
    elements[index] = element;
  }
}
