/**
 * A deployment small enough for tests with real processes, and the requests that they send.
 */
import { request as sendHttp } from 'undici';

import type { Deployment } from '../deployment/deployments.js';
import type { DaemonProcess } from '../harness/daemon-process.js';

export const CUSTOMER = 'society-0';

export const SMALL: Deployment = {
  name: 'agnirakshak',
  dataCentres: ['gj-1', 'gj-2', 'gj-3'],
  services: [
    {
      service: 'visit-desk',
      instances: 6,
      slots: 2,
      kinds: [
        { name: 'read', medianMs: 15, sigma: 0.3 },
        { name: 'book', medianMs: 15, sigma: 0.3 },
      ],
    },
  ],
  plans: [
    {
      id: 'standard',
      ratePerSecond: 10_000,
      burst: 10_000,
      share: 1,
      services: [
        {
          name: 'visit-desk',
          kinds: [
            { name: 'read', weight: 1, repeatable: true },
            { name: 'book', weight: 1, repeatable: false },
          ],
          floorSlots: 8,
          detectionWeight: 2,
          falseEjectionWeight: 1,
          maxBodyBytes: 4 * 1024 * 1024,
        },
      ],
    },
    {
      id: 'tiny',
      ratePerSecond: 1,
      burst: 2,
      share: 1,
      services: [
        {
          name: 'visit-desk',
          kinds: [{ name: 'read', weight: 1, repeatable: true }],
          floorSlots: 0,
          detectionWeight: 2,
          falseEjectionWeight: 1,
          maxBodyBytes: 1000,
        },
      ],
    },
  ],
  customers: [
    { id: CUSTOMER, plan: 'standard' },
    { id: 'small-1', plan: 'tiny' },
  ],
};

export type Reply = {
  readonly status: number;
  /** Numbered result code; 0 for an answer. */
  readonly code: number;
  readonly outcome?: string | undefined;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
};

export type SendOptions = {
  readonly kind?: 'read' | 'book';
  readonly path?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  readonly signal?: AbortSignal;
};

function readOutcome(text: string): string | undefined {
  return (JSON.parse(text) as { readonly outcome?: string }).outcome;
}

/** Sends one request straight to a daemon, without the caller's helper. */
export async function sendTo(daemon: DaemonProcess, options: SendOptions = {}): Promise<Reply> {
  const { kind = 'read', path = '/visit-desk/work', headers = {}, body, signal } = options;
  const response = await sendHttp(`http://127.0.0.1:${daemon.ports.callers}${path}`, {
    method: kind === 'book' ? 'POST' : 'GET',
    headers: { 'baobabline-customer': CUSTOMER, 'baobabline-kind': kind, ...headers },
    body: body ?? null,
    signal: signal ?? null,
  });
  const text = await response.body.text();
  const code = Number(response.headers['baobabline-refused'] ?? 0);
  return {
    status: response.statusCode,
    code,
    outcome: code > 0 ? readOutcome(text) : undefined,
    headers: response.headers,
    text,
  };
}

let keyCount = 0;

/** Asks a daemon for the start of a key and makes a whole key of it. */
export async function createKey(daemon: DaemonProcess): Promise<string> {
  const url = `http://127.0.0.1:${daemon.ports.callers}/entries?customer=${CUSTOMER}&service=visit-desk`;
  const response = await sendHttp(url);
  const { keyPrefix } = (await response.body.json()) as { readonly keyPrefix: string };
  keyCount += 1;
  return `${keyPrefix}nonce-${String(keyCount).padStart(6, '0')}`;
}

/** Sends a booking with a key. */
export async function sendBooking(
  daemon: DaemonProcess,
  key: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<Reply> {
  return sendTo(daemon, {
    kind: 'book',
    body: 'booking',
    headers: { 'idempotency-key': key, ...headers },
  });
}
