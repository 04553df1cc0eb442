/**
 * The requests of one connection of a caller that are not answered yet, in the order in which they
 * came. Callers may send safe requests before earlier ones are answered; answers go back in order.
 *
 * What stands behind an answer that ends its connection counts as never read, and is sent again. So
 * a request is passed on only if an answer to it can still follow: at once where it is the first in
 * line, beside others where all of them are safe and the connection is to stay. A slow request does
 * not hold up those behind it, up to a bound on the answers that may have to be held.
 */

/** Requests of a connection that are served at the same time. */
const MAX_OVERLAP = 8;

export type TurnPorts = {
  /** Whether all of the request has come. */
  readonly isWhole: () => boolean;
  /** Called when the connection is gone before the request was answered. */
  readonly onGone: () => void;
};

type Turn = TurnPorts & {
  readonly order: number;
  /** Whether it may be served while others are: only what may run more than once. */
  mayOverlap: boolean;
  isStarted: boolean;
  start: (() => void) | undefined;
};

export type PipelineTurn = Readonly<Turn>;

export class Pipeline {
  #turns: readonly Turn[] = [];

  #count = 0;

  /** The last request that is answered before the connection ends. */
  #lastOrder = Number.POSITIVE_INFINITY;

  readonly #isLeaving: () => boolean;

  /** `isLeaving` tells whether the connection is to end with the next answer that can. */
  constructor(isLeaving: () => boolean) {
    this.#isLeaving = isLeaving;
  }

  /** Whether an answer is still to come to a request that has come whole. */
  get isAnswering(): boolean {
    return this.#turns.some(({ isWhole }) => isWhole());
  }

  /** Whether no request is open on the connection. */
  get isEmpty(): boolean {
    return this.#turns.length === 0;
  }

  /** Takes in a request whose head has come. */
  add(ports: TurnPorts): PipelineTurn {
    this.#count += 1;
    const turn: Turn = {
      ...ports,
      order: this.#count,
      mayOverlap: false,
      isStarted: false,
      start: undefined,
    };
    this.#turns = [...this.#turns, turn];
    return turn;
  }

  /** Notes that a request is whole; it is started as soon as its answer can follow. */
  setReady(turn: PipelineTurn, mayOverlap: boolean, start: () => void): void {
    const own = this.#find(turn);
    if (!own) return;
    own.mayOverlap = mayOverlap;
    own.start = start;
    this.#startNext();
  }

  /** Notes that a request is answered, or will not be. */
  finish(turn: PipelineTurn): void {
    this.#turns = this.#turns.filter(({ order }) => order !== turn.order);
    this.#startNext();
  }

  /** Whether nothing is before a request. */
  isFirst({ order }: PipelineTurn): boolean {
    return this.#turns[0]?.order === order;
  }

  /**
   * Whether the connection ends with the answer to a request: in a planned stop, as soon as no request
   * behind it has come whole. Once it does, nothing behind it is started any more.
   */
  isEndedBy({ order }: PipelineTurn): boolean {
    const isLast = !this.#turns.some(
      (turn) => turn.order > order && (turn.isStarted || turn.isWhole()),
    );
    if (this.#isLeaving() && isLast) this.#lastOrder = Math.min(this.#lastOrder, order);
    return order >= this.#lastOrder;
  }

  /** Notes that nothing more can be read: the connection ends once what has come is answered. */
  stop(): void {
    const whole = this.#turns.filter(({ isWhole }) => isWhole()).map(({ order }) => order);
    this.#lastOrder = Math.min(this.#lastOrder, Math.max(0, ...whole));
  }

  /** Notes that the connection is gone. */
  handleGone(): void {
    this.#lastOrder = 0;
    this.#turns.forEach(({ onGone }) => onGone());
  }

  #find({ order }: PipelineTurn): Turn | undefined {
    return this.#turns.find((turn) => turn.order === order);
  }

  #startNext(): void {
    const startable = this.#turns.filter((turn, place) => this.#canStart(turn, place));
    startable.forEach((turn) => {
      // Marked first, as a start may end at once and come back here.
      Object.assign(turn, { isStarted: true });
    });
    startable.forEach(({ start }) => start?.());
  }

  #canStart({ isStarted, start, mayOverlap, order }: Turn, place: number): boolean {
    if (isStarted || !start || order > this.#lastOrder) return false;
    if (place === 0) return true;
    if (!mayOverlap || place >= MAX_OVERLAP || this.#isLeaving()) return false;
    return this.#turns.slice(0, place).every((before) => before.mayOverlap);
  }
}
