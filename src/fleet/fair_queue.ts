/**
 * Waiting requests in the order in which they are to be served: higher
 * priority first; within one priority customers take turns by weighted fair
 * queueing; within one customer the earliest deadline first.
 *
 * @module
 */

/** What the order depends on. */
export interface QueueItem {
  readonly customer: string;
  /** Higher goes first. */
  readonly priority: number;
  readonly deadlineMs: number;
  /** Turns of the customer compared with those of others, 1 by default. */
  readonly weight?: number;
}

interface CustomerQueue<T> {
  readonly customer: string;
  readonly items: T[];
  /** Virtual time at which the customer's next request is due. */
  virtualStart: number;
}

interface PriorityClass<T> {
  readonly queues: Map<string, CustomerQueue<T>>;
  /** Virtual time: the due time of what was served last. */
  virtualTime: number;
}

/** An ordered backlog; the caller bounds its size. */
export class FairQueue<T extends QueueItem> {
  readonly #classes = new Map<number, PriorityClass<T>>();
  #size = 0;

  get size(): number {
    return this.#size;
  }

  add(item: T): void {
    const { queues: queues, virtualTime: virtualTime } = this.#classOf(
      item.priority,
    );
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

  /** Takes the request that is next, if there is one. */
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

  /** How many are served before a new request of this kind, about. */
  countAhead(item: QueueItem): number {
    let count = 0;
    for (const priority of this.#prioritiesFrom(item.priority)) {
      const { queues: queues } = this.#classOf(priority);
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
   * The request to give up when there is no room for `item`: the last one of
   * the customer with most waiting, of the lowest priority, if that is not the
   * customer of `item` itself and the priority not above its own.
   */
  evictionCandidate(item: QueueItem): T | undefined {
    const lowest = this.#prioritiesFrom(-Infinity).at(-1);
    if (lowest === undefined || lowest > item.priority) return undefined;
    const { queues: queues } = this.#classOf(lowest);
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

  /** Priorities with requests, highest first, down to `least`. */
  #prioritiesFrom(minPriority: number): number[] {
    return [...this.#classes]
      .filter(([priority, { queues: queues }]) =>
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
  { queues: queues, virtualTime: virtualTime }: PriorityClass<T>,
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
