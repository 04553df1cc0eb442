/**
 * Bounds on everything that comes from outside the process: entries of the store, settings, and
 * messages of other daemons. The schemas of these are made of the fields here, so that a value which
 * passes a check anywhere can be used everywhere: no call deep inside throws because of it, waits
 * for ever or not at all, or takes all memory.
 *
 * The bounds are far from any value that makes sense, since what is refused has no effect at all. A
 * time that is merely longer than a timer can wait is cut to the longest one.
 */
import * as z from 'zod';

/** The longest time that a timer of Node.js can wait; with a longer one it fires at once. */
export const MAX_TIMER_MS = 2 ** 31 - 1;
/** Names in entries of upstreams, settings and messages; the store's keys have 200 bytes. */
const MAX_NAME_LENGTH = 1024;
const MAX_PORT = 65_535;
const MAX_SLOTS = 1_000_000;
/** Sums of weights stay exact. */
export const MAX_WEIGHT = 1e9;
/** The latest time that a date can hold, in Unix milliseconds. */
const MAX_DATE_MS = 8.64e15;
const MAX_RATE = 1e9;
const MAX_PRIORITY = 1_000_000;
/** How often a store may come back from an older copy while a daemon runs. */
export const MAX_ERAS = 1000;
export const MAX_MEMBERS = 10_000;
export const MAX_RECORDS = 200_000;
export const MAX_ROUTES = 100_000;
export const MAX_PARTS = 100_000;
export const MAX_ACCOUNTS = 100_000;
export const MAX_KEYS_PER_ACCOUNT = 1_000_000;

/**
 * Visible characters of Latin-1, in which headers are sent, and blanks between them. Others would end
 * the header, be cut to a byte that does, or be left out by its reader.
 */
const HEADER_TEXT_PATTERN = /^[\x20-\x7e\xa1-\xff]+$/;

/** Whether a header can hold a text as it is. */
export function isHeaderText(text: string): boolean {
  return HEADER_TEXT_PATTERN.test(text) && !text.startsWith(' ') && !text.endsWith(' ');
}

export const nameField = z.string().min(1).max(MAX_NAME_LENGTH);

/** A name that may be empty. */
export const labelField = z.string().max(MAX_NAME_LENGTH);

/** An identifier that is sent in a header. */
export const headerTextField = nameField.refine(isHeaderText, {
  error: 'must be characters that a header can hold',
});

/** A text of any length; the size of the whole message or record bounds it. */
export const textField = z.string();

export const pathPrefixField = z
  .string()
  .refine((prefix) => prefix.startsWith('/') && prefix.endsWith('/'), {
    error: 'must begin and end with a slash',
  });

/** An address that needs no name look-up. */
export const ipAddressField = z.union([z.ipv4(), z.ipv6()], 'must be an IP address');

/** A port on which somebody listens. */
export const portField = z.int().min(1).max(MAX_PORT);

/** A port to listen on; 0 stands for any free one. */
export const listenPortField = z.int().min(0).max(MAX_PORT);

export const slotsField = z.int().min(1).max(MAX_SLOTS);

/** Rank of a request among others; 0 is the most urgent, and the last rank takes in all after it. */
export const priorityField = z
  .number()
  .min(0)
  .transform((rank) => Math.min(Math.floor(rank), MAX_PRIORITY));

export const weightField = z.number().min(0).max(MAX_WEIGHT);

/** Milliseconds, cut to the longest time that a timer can wait. */
export const durationField = z
  .number()
  .min(0)
  .transform((ms) => Math.min(ms, MAX_TIMER_MS));

/** Milliseconds since something happened at another daemon; what lies ahead counts as now. */
export const ageField = z.number().transform((ms) => Math.min(Math.max(0, ms), MAX_TIMER_MS));

/** Unix milliseconds. */
export const dateField = z.int().min(-MAX_DATE_MS).max(MAX_DATE_MS);

/** The highest number that counts; a daemon that counts on stays at it. */
export const MAX_COUNTER = MAX_DATE_MS;

/** A whole number that is counted up from 0, as versions are. */
export const counterField = z.int().min(0).max(MAX_COUNTER);

/** A part of a rate per second. */
export const rateField = z.number().min(0).max(MAX_RATE);

/** Requests per second that operators allow; a rate beyond all that a fleet serves is no limit. */
export const allowedRateField = z
  .number()
  .min(0)
  .transform((rate) => Math.min(rate, MAX_RATE));

/** A number of requests, or a hash of 32 bits. */
export const countField = z
  .int()
  .min(0)
  .max(2 ** 32);

/** A revision of the store; what a read found missing stands between two of them. */
export const revisionField = z.number().min(-1).max(Number.MAX_SAFE_INTEGER);

export const eraField = z.int().min(0);

/** A list from which the rows are left out that cannot be used; the others hold. */
export function buildTolerantList<Row extends z.ZodType>(
  row: Row,
  maxRows: number,
): z.ZodType<readonly z.output<Row>[]> {
  return z
    .array(z.unknown())
    .max(maxRows)
    .transform((values) =>
      values.flatMap((value): readonly z.output<Row>[] => {
        const parsed = row.safeParse(value);
        return parsed.success ? [parsed.data] : [];
      }),
    );
}
