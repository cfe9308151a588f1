/**
 * Waiting requests in the order in which they are to be served: higher
 * priority first; within one priority customers take turns by weighted fair
 * queueing; within one customer the earliest deadline first.
 *
 * @module
 */

/** What the order depends on. */
export interface Waiting {
  readonly customer: string;
  /** Higher goes first. */
  readonly priority: number;
  readonly deadlineMs: number;
  /** Turns of the customer compared with those of others, 1 by default. */
  readonly weight?: number;
}

interface CustomerLine<T> {
  readonly customer: string;
  readonly waiting: T[];
  /** Virtual time at which the customer's next request is due. */
  dueAt: number;
}

interface PriorityClass<T> {
  readonly lines: Map<string, CustomerLine<T>>;
  /** Virtual time: the due time of what was served last. */
  now: number;
}

/** An ordered backlog; the caller bounds its size. */
export class FairBacklog<T extends Waiting> {
  readonly #classes = new Map<number, PriorityClass<T>>();
  #size = 0;

  get size(): number {
    return this.#size;
  }

  add(item: T): void {
    const { lines, now } = this.#classOf(item.priority);
    let line = lines.get(item.customer);
    if (line === undefined) {
      line = { customer: item.customer, waiting: [], dueAt: now };
      lines.set(item.customer, line);
    }
    const index = line.waiting.findIndex((other) =>
      other.deadlineMs > item.deadlineMs
    );
    line.waiting.splice(index < 0 ? line.waiting.length : index, 0, item);
    this.#size += 1;
  }

  /** Takes the request that is next, if there is one. */
  take(): T | undefined {
    for (const priority of this.#prioritiesFrom(-Infinity)) {
      const waitingClass = this.#classOf(priority);
      const line = nextLine(waitingClass);
      if (line === undefined) continue;
      const [item] = line.waiting;
      waitingClass.now = Math.max(waitingClass.now, line.dueAt);
      line.dueAt = waitingClass.now + 1 / (item.weight ?? 1);
      this.remove(item);
      return item;
    }
    return undefined;
  }

  remove(item: T): boolean {
    const waitingClass = this.#classes.get(item.priority);
    const line = waitingClass?.lines.get(item.customer);
    const index = line?.waiting.indexOf(item) ?? -1;
    if (waitingClass === undefined || line === undefined || index < 0) {
      return false;
    }
    line.waiting.splice(index, 1);
    this.#size -= 1;
    if (line.waiting.length === 0 && line.dueAt <= waitingClass.now) {
      waitingClass.lines.delete(item.customer);
    }
    return true;
  }

  /** How many are served before a new request of this kind, about. */
  countAhead(item: Waiting): number {
    let count = 0;
    for (const priority of this.#prioritiesFrom(item.priority)) {
      const { lines } = this.#classOf(priority);
      const ownCount = lines.get(item.customer)?.waiting
        .filter((other) => other.deadlineMs <= item.deadlineMs).length ?? 0;
      for (const line of lines.values()) {
        const isSame = priority === item.priority;
        const isOwn = line.customer === item.customer;
        if (!isSame) count += line.waiting.length;
        else if (isOwn) count += ownCount;
        else count += Math.min(line.waiting.length, ownCount + 1);
      }
    }
    return count;
  }

  /**
   * The request to give up when there is no room for `item`: the last one of
   * the customer with most waiting, of the lowest priority, if that is not the
   * customer of `item` itself and the priority not above its own.
   */
  victimFor(item: Waiting): T | undefined {
    const lowest = this.#prioritiesFrom(-Infinity).at(-1);
    if (lowest === undefined || lowest > item.priority) return undefined;
    const { lines } = this.#classOf(lowest);
    let longest: CustomerLine<T> | undefined;
    for (const line of lines.values()) {
      const length = longest?.waiting.length ?? 0;
      if (line.waiting.length > length) longest = line;
    }
    const ownLength = lines.get(item.customer)?.waiting.length ?? 0;
    const isLonger = longest !== undefined &&
      longest.waiting.length > ownLength + 1;
    return lowest < item.priority || isLonger
      ? longest?.waiting.at(-1)
      : undefined;
  }

  /** Priorities with requests, highest first, down to `least`. */
  #prioritiesFrom(least: number): number[] {
    return [...this.#classes]
      .filter(([priority, { lines }]) =>
        priority >= least &&
        [...lines.values()].some((line) => line.waiting.length > 0)
      )
      .map(([priority]) => priority)
      .sort((one, other) => other - one);
  }

  #classOf(priority: number): PriorityClass<T> {
    let found = this.#classes.get(priority);
    if (found === undefined) {
      found = { lines: new Map(), now: 0 };
      this.#classes.set(priority, found);
    }
    return found;
  }
}

function nextLine<T extends Waiting>(
  { lines, now }: PriorityClass<T>,
): CustomerLine<T> | undefined {
  let next: CustomerLine<T> | undefined;
  for (const line of lines.values()) {
    if (line.waiting.length === 0) {
      if (line.dueAt <= now) lines.delete(line.customer);
      continue;
    }
    if (next === undefined || line.dueAt < next.dueAt) next = line;
  }
  return next;
}
