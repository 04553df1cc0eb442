/**
 * The story of one request, from the log lines of the daemons that had it: what was decided, what
 * was believed of the upstreams at that time, and what it ended in.
 */

/** A log line as daemons write it. */
export type LogLine = {
  readonly time: string;
  readonly daemon: string;
  readonly event: string;
  readonly [field: string]: unknown;
};

export type StoryStep = {
  readonly time: string;
  readonly daemon: string;
  readonly text: string;
};

export type Story = {
  readonly request: string;
  readonly steps: readonly StoryStep[];
  /** What else the same daemons noted around that time. */
  readonly around: readonly StoryStep[];
  /** What it ended in, in one sentence. */
  readonly end: string;
};

/** Notes of a daemon that may explain a request's end. */
const CONTEXT_EVENTS: readonly string[] = [
  'trust',
  'link',
  'rate-limit',
  'store-away',
  'store-back',
  'store-history-lost',
  'era-changed',
  'record-refused',
  'record-replaced',
  'dispatcher-lost',
  'configuration',
  'log-lines-left-out',
  'stop',
  'stop-repeated',
  'started',
];
/** Events about one upstream, which matter if the request was sent there. */
const UPSTREAM_EVENTS: readonly string[] = ['trust', 'link'];
/** How long before its first and after its last line the daemon's notes are looked at. */
const AROUND_MS = 5000;

const HOPELESS_REASONS: Readonly<Record<string, string>> = {
  'account-over-share': ', its account is over its share',
  'kind-served-more': ', a more urgent kind is served less often',
  expired: ', its time has passed in the queue',
};

const STEP_TEXTS: Readonly<Record<string, (line: LogLine) => string>> = {
  waiting: ({ ahead, timeLeftMs }) => `waits for room behind ${ahead}, ${timeLeftMs} ms left`,
  sent: ({ upstream, attempt, reason, timeLeftMs, limitPerSecond, limitShare }) => {
    const limit =
      limitPerSecond === undefined
        ? ''
        : `, by a share of ${Number(limitShare).toFixed(2)} of its limit of ${limitPerSecond} a second`;
    return `sent to ${upstream} (${reason}) as attempt ${attempt}, ${timeLeftMs} ms left${limit}`;
  },
  answered: ({ upstream, status, verdict, elapsedMs }) => {
    const doubt = verdict === 'unknown' ? ', which does not show whether it ran' : '';
    return `${upstream} answered ${status} after ${Number(elapsedMs).toFixed(1)} ms${doubt}`;
  },
  overdue: ({ upstream, afterMs }) => `${upstream} has not answered for ${afterMs} ms`,
  unsent: ({ upstream, reason }) => `${upstream} could not be reached: ${reason}`,
  lost: ({ upstream, reason }) => `the connection to ${upstream} was lost: ${reason}`,
  invalid: ({ upstream, reason }) => `${upstream} sent what is no whole answer: ${reason}`,
  hopeless: ({ reason, waiting, slots, meanAttemptMs, withoutPermit }) => {
    if (reason === 'retry-budget') return 'shed, and the retry budget is used up';
    const limited = withoutPermit ? `, ${withoutPermit} upstreams at their rate limit` : '';
    return `no room in time: behind ${waiting}, ${Number(slots).toFixed(1)} slots to count on, ${Math.round(Number(meanAttemptMs))} ms an attempt${limited}${HOPELESS_REASONS[String(reason)] ?? ''}`;
  },
  undeliverable: ({ cause, deliveryMs, timeLeftMs }) =>
    cause === 'memory'
      ? 'not sent: no room to hold its answer'
      : `not sent: its answer would be delivered after ${deliveryMs} ms, ${timeLeftMs} ms left`,
  'stop-reached': () => 'the daemon stops, and gives it up',
  'caller-gone': () => 'the caller left',
};

function describeFields({ time, daemon, event, level, ...fields }: LogLine): string {
  const rest = Object.entries(fields).map(([name, value]) => `${name} ${JSON.stringify(value)}`);
  return [event, ...rest].join(' ');
}

function describeLine(line: LogLine): string {
  if (line.event === 'refused') {
    return `refused with ${String(line.code)} (${String(line.outcome)}): ${String(line.detail)}`;
  }
  const build = line.event === 'request' ? STEP_TEXTS[String(line.step)] : undefined;
  return build ? build(line) : describeFields(line);
}

function toStep(line: LogLine): StoryStep {
  return { time: line.time, daemon: line.daemon, text: describeLine(line) };
}

function describeEnd(lines: readonly LogLine[]): string {
  const last = lines.at(-1);
  if (!last) return 'no line of this request was found';
  if (last.event === 'refused') {
    const claim = last.outcome === 'not-run' ? 'it did not run' : 'it may have run';
    return `it ended with ${String(last.code)}: ${String(last.detail)}; ${claim}`;
  }
  const cut = lines.find(({ event }) => event === 'request-cut');
  if (cut) return `a planned stop cut it (${String(cut.phase)})`;
  const answer = lines.findLast(({ step }) => step === 'answered');
  if (last.step === 'caller-gone') return 'its caller left before it ended';
  if (answer) return `it ended with ${String(answer.upstream)}'s own ${String(answer.status)}`;
  return 'its end is not in these lines';
}

/** Parses a line; undefined if it is no line of a daemon. Text before the JSON is passed over. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const value = JSON.parse(text.slice(start)) as Partial<LogLine>;
    const isLine = [value.time, value.daemon, value.event].every((one) => typeof one === 'string');
    return isLine ? (value as LogLine) : undefined;
  } catch {
    // Other programs may write to the same file.
    return undefined;
  }
}

/** Whether a line is needed for the story of a request. */
export function isStoryLine(line: LogLine, request: string): boolean {
  return line.request === request || CONTEXT_EVENTS.includes(line.event);
}

/** Builds the story of a request from lines in any order. */
export function buildStory(lines: readonly LogLine[], request: string): Story {
  const sorted = [...lines].sort((left, right) => left.time.localeCompare(right.time));
  const own = sorted.filter((line) => line.request === request);
  const daemons = new Set(own.map(({ daemon }) => daemon));
  const upstreams = new Set<unknown>(own.map(({ upstream }) => upstream));
  const from = Date.parse(own[0]?.time ?? '') - AROUND_MS;
  const to = Date.parse(own.at(-1)?.time ?? '') + AROUND_MS;
  const around = sorted.filter(({ request: other, event, daemon, time, upstream }) => {
    const at = Date.parse(time);
    if (other !== undefined || !daemons.has(daemon) || at < from || at > to) return false;
    return (
      CONTEXT_EVENTS.includes(event) &&
      (!UPSTREAM_EVENTS.includes(event) || upstreams.has(upstream))
    );
  });
  return { request, steps: own.map(toStep), around: around.map(toStep), end: describeEnd(own) };
}

/** Writes a story as lines of text. */
export function formatStory({ request, steps, around, end }: Story): readonly string[] {
  const format = ({ time, daemon, text }: StoryStep): string => `  ${time} ${daemon} ${text}`;
  const context = around.length === 0 ? [] : ['around it:', ...around.map(format)];
  return [`request ${request}: ${end}`, ...steps.map(format), ...context];
}
