/**
 * Kinds of request, services and rates for a rolling restart, with the deadlines and work times of the
 * platform's first two deployments.
 */
import type { RandomSource } from '@baobabline/core';

export const PROFILE_NAMES = ['agnirakshak', 'perucas'] as const;

export type ProfileName = (typeof PROFILE_NAMES)[number];

/** How long requests of a kind take: log-normal around a mean, some of them many times as long. */
export type WorkTime = {
  readonly meanMs: number;
  readonly sigma: number;
  readonly longFactor: number;
  readonly maxMs: number;
};

export type RequestKind = {
  readonly name: string;
  readonly method: 'GET' | 'POST';
  readonly isSafe: boolean;
  readonly service: string;
  /** How often it comes, relative to the others. */
  readonly weight: number;
  readonly deadlineMs: number;
  readonly routeTimeoutMs: number;
  readonly bodyBytes: number;
  readonly work: WorkTime;
};

export type Profile = {
  readonly ratePerSecond: number;
  readonly kinds: readonly RequestKind[];
  readonly services: readonly {
    readonly name: string;
    readonly upstreams: number;
    readonly slots: number;
  }[];
};

/** Part of the requests that take many times as long. */
const LONG_PART = 0.01;
const UPLOAD_BYTES = 60_000;

const AGNIRAKSHAK: Profile = {
  ratePerSecond: 150,
  services: [
    { name: 'visit-desk', upstreams: 20, slots: 3 },
    { name: 'record-vault', upstreams: 6, slots: 3 },
  ],
  kinds: [
    {
      name: 'view',
      method: 'GET',
      isSafe: true,
      service: 'visit-desk',
      weight: 2,
      deadlineMs: 2000,
      routeTimeoutMs: 2000,
      bodyBytes: 0,
      work: { meanMs: 150, sigma: 0.3, longFactor: 3, maxMs: 920 },
    },
    {
      name: 'book',
      method: 'POST',
      isSafe: false,
      service: 'visit-desk',
      weight: 5,
      deadlineMs: 2500,
      routeTimeoutMs: 1500,
      bodyBytes: 4000,
      work: { meanMs: 200, sigma: 0.8, longFactor: 5, maxMs: 1500 },
    },
    {
      name: 'upload',
      method: 'POST',
      isSafe: false,
      service: 'record-vault',
      weight: 0.7,
      deadlineMs: 2500,
      routeTimeoutMs: 2500,
      bodyBytes: UPLOAD_BYTES,
      work: { meanMs: 190, sigma: 0.5, longFactor: 3, maxMs: 1100 },
    },
    {
      name: 'read',
      method: 'GET',
      isSafe: true,
      service: 'record-vault',
      weight: 1.6,
      deadlineMs: 1000,
      routeTimeoutMs: 1000,
      bodyBytes: 0,
      work: { meanMs: 60, sigma: 0.5, longFactor: 5, maxMs: 460 },
    },
  ],
};

const PERUCAS: Profile = {
  ratePerSecond: 150,
  services: [
    { name: 'catalogue', upstreams: 23, slots: 2 },
    { name: 'atelier', upstreams: 6, slots: 2 },
  ],
  kinds: [
    {
      name: 'view',
      method: 'GET',
      isSafe: true,
      service: 'catalogue',
      weight: 1.7,
      deadlineMs: 1000,
      routeTimeoutMs: 1000,
      bodyBytes: 0,
      work: { meanMs: 110, sigma: 0.8, longFactor: 5, maxMs: 810 },
    },
    {
      name: 'book',
      method: 'POST',
      isSafe: false,
      service: 'catalogue',
      weight: 5,
      deadlineMs: 1000,
      routeTimeoutMs: 1000,
      bodyBytes: 1200,
      work: { meanMs: 140, sigma: 0.3, longFactor: 3, maxMs: 850 },
    },
    {
      name: 'upload',
      method: 'POST',
      isSafe: false,
      service: 'atelier',
      weight: 0.7,
      deadlineMs: 1500,
      routeTimeoutMs: 1500,
      bodyBytes: UPLOAD_BYTES,
      work: { meanMs: 130, sigma: 0.5, longFactor: 5, maxMs: 970 },
    },
    {
      name: 'read',
      method: 'GET',
      isSafe: true,
      service: 'atelier',
      weight: 1.3,
      deadlineMs: 500,
      routeTimeoutMs: 500,
      bodyBytes: 0,
      work: { meanMs: 45, sigma: 0.8, longFactor: 3, maxMs: 250 },
    },
  ],
};

const PROFILES: Readonly<Record<ProfileName, Profile>> = {
  agnirakshak: AGNIRAKSHAK,
  perucas: PERUCAS,
};

export function getProfile(name: ProfileName): Profile {
  return PROFILES[name];
}

/** Draws a kind of request by weight. */
export function drawKind(random: RandomSource, kinds: readonly RequestKind[]): RequestKind {
  const total = kinds.reduce((sum, { weight }) => sum + weight, 0);
  let left = random.next() * total;
  const found = kinds.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  return found ?? (kinds.at(-1) as RequestKind);
}

export function drawWorkMs(random: RandomSource, work: WorkTime): number {
  const { meanMs, sigma, longFactor, maxMs } = work;
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  const factor = random.next() < LONG_PART ? longFactor : 1;
  return Math.min(maxMs, factor * meanMs * Math.exp(sigma * normal - sigma ** 2 / 2));
}
