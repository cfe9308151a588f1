/**
 * Queue of requests in service order: higher priority first; within a priority,
 * weighted fair queueing between customers; within a customer, earliest
 * deadline first.
 *
 * @module
 */

/** Properties of a request that determine its position. */
export interface QueueItem {
  readonly customer: string;
  /** Higher priorities are served first. */
  readonly priority: number;
  readonly deadlineMs: number;
  /** Share of the service relative to that of other customers, 1 by default. */
  readonly weight?: number;
}

interface CustomerQueue<T> {
  readonly customer: string;
  readonly items: T[];
  /** Virtual start time of the customer's next request. */
  virtualStart: number;
}

interface PriorityClass<T> {
  readonly queues: Map<string, CustomerQueue<T>>;
  /** Virtual start time of the request served last. */
  virtualTime: number;
}

/** Fair queue; the caller bounds its size. */
export class FairQueue<T extends QueueItem> {
  readonly #classes = new Map<number, PriorityClass<T>>();
  #size = 0;

  get size(): number {
    return this.#size;
  }

  add(item: T): void {
    const { queues, virtualTime } = this.#classOf(item.priority);
    let queue = queues.get(item.customer);
    if (queue === undefined) {
      queue = { customer: item.customer, items: [], virtualStart: virtualTime };
      queues.set(item.customer, queue);
    }
    const index = queue.items.findIndex((other) =>
      other.deadlineMs > item.deadlineMs
    );
    queue.items.splice(index < 0 ? queue.items.length : index, 0, item);
    this.#size += 1;
  }

  /** Removes and returns the next request, if there is one. */
  dequeue(): T | undefined {
    for (const priority of this.#prioritiesFrom(-Infinity)) {
      const priorityClass = this.#classOf(priority);
      const queue = nextQueue(priorityClass);
      if (queue === undefined) continue;
      const [item] = queue.items;
      priorityClass.virtualTime = Math.max(
        priorityClass.virtualTime,
        queue.virtualStart,
      );
      queue.virtualStart = priorityClass.virtualTime + 1 / (item.weight ?? 1);
      this.remove(item);
      return item;
    }
    return undefined;
  }

  remove(item: T): boolean {
    const priorityClass = this.#classes.get(item.priority);
    const queue = priorityClass?.queues.get(item.customer);
    const index = queue?.items.indexOf(item) ?? -1;
    if (priorityClass === undefined || queue === undefined || index < 0) {
      return false;
    }
    queue.items.splice(index, 1);
    this.#size -= 1;
    if (
      queue.items.length === 0 &&
      queue.virtualStart <= priorityClass.virtualTime
    ) {
      priorityClass.queues.delete(item.customer);
    }
    return true;
  }

  /**
   * Estimates the number of requests served before a new request of this kind.
   */
  countAhead(item: QueueItem): number {
    let count = 0;
    for (const priority of this.#prioritiesFrom(item.priority)) {
      const { queues } = this.#classOf(priority);
      const ownCount = queues.get(item.customer)?.items
        .filter((other) => other.deadlineMs <= item.deadlineMs).length ?? 0;
      for (const queue of queues.values()) {
        const isSame = priority === item.priority;
        const isOwn = queue.customer === item.customer;
        if (!isSame) count += queue.items.length;
        else if (isOwn) count += ownCount;
        else count += Math.min(queue.items.length, ownCount + 1);
      }
    }
    return count;
  }

  /**
   * Returns the request to evict when the queue is too full for `item`: the
   * last request of the customer with the most requests in the lowest priority.
   * For a lowest priority equal to that of `item`, undefined unless that
   * customer has at least two requests more than the customer of `item`; for a
   * higher one, always undefined.
   */
  evictionCandidate(item: QueueItem): T | undefined {
    const lowest = this.#prioritiesFrom(-Infinity).at(-1);
    if (lowest === undefined || lowest > item.priority) return undefined;
    const { queues } = this.#classOf(lowest);
    let longest: CustomerQueue<T> | undefined;
    for (const queue of queues.values()) {
      const length = longest?.items.length ?? 0;
      if (queue.items.length > length) longest = queue;
    }
    const ownLength = queues.get(item.customer)?.items.length ?? 0;
    const isLonger = longest !== undefined &&
      longest.items.length > ownLength + 1;
    return lowest < item.priority || isLonger
      ? longest?.items.at(-1)
      : undefined;
  }

  /** Priorities with requests, highest first, down to `minPriority`. */
  #prioritiesFrom(minPriority: number): number[] {
    return [...this.#classes]
      .filter(([priority, { queues }]) =>
        priority >= minPriority &&
        [...queues.values()].some((queue) => queue.items.length > 0)
      )
      .map(([priority]) => priority)
      .sort((one, other) => other - one);
  }

  #classOf(priority: number): PriorityClass<T> {
    let found = this.#classes.get(priority);
    if (found === undefined) {
      found = { queues: new Map(), virtualTime: 0 };
      this.#classes.set(priority, found);
    }
    return found;
  }
}

function nextQueue<T extends QueueItem>(
  { queues, virtualTime }: PriorityClass<T>,
): CustomerQueue<T> | undefined {
  let next: CustomerQueue<T> | undefined;
  for (const queue of queues.values()) {
    if (queue.items.length === 0) {
      if (queue.virtualStart <= virtualTime) queues.delete(queue.customer);
      continue;
    }
    if (next === undefined || queue.virtualStart < next.virtualStart) {
      next = queue;
    }
  }
  return next;
}
