/**
 * What operators and upstreams publish in the platform's store, in its format.
 */

/** The entry of an upstream. */
export function buildStoreEntry(
  service: string,
  endpoint: string,
  {
    state = 'ready',
    slots = 4,
    bornAt = 1,
    dataCentre = 'z1',
  }: {
    readonly state?: 'ready' | 'draining';
    readonly slots?: number;
    readonly bornAt?: number;
    readonly dataCentre?: string;
  } = {},
): object {
  return {
    service,
    address: endpoint,
    zone: dataCentre,
    version: 'v1',
    maxConcurrency: slots,
    state,
    warmupLeftS: 0,
    sequence: 1,
    born: bornAt,
  };
}

export type PublishedRoute = {
  readonly prefix: string;
  readonly kind: 'safe' | 'unsafe' | 'download';
  readonly service: string;
  readonly timeoutSeconds: number;
  /** Whether requests need no key although the configuration has accounts. */
  readonly isPublic?: boolean;
};

/** A client account, in the platform's words. */
export type PublishedAccount = {
  readonly name: string;
  readonly apiKeys: readonly string[];
  readonly ratePerS?: number;
  readonly burst?: number;
  readonly priority?: number;
};

/** A configuration with the routes of one host. */
export function buildStoreConfiguration(
  version: number,
  host: string,
  routes: readonly PublishedRoute[],
  accounts?: readonly PublishedAccount[],
): object {
  const services = [...new Set(routes.map(({ service }) => service))];
  return {
    version: `r${version}`,
    limits: { maxHeaderBytes: 8192, maxBodyBytes: 100_000, headerTimeoutS: 2, idleTimeoutS: 10 },
    listeners: [
      {
        host,
        rules: routes.map(({ prefix, kind, service, timeoutSeconds, isPublic = false }) => ({
          name: prefix,
          kind,
          targetLatencyS: 0.5,
          priority: 1,
          public: isPublic,
          match: { prefix },
          action: { service, timeoutS: timeoutSeconds, maxAttempts: 3 },
        })),
      },
    ],
    clusters: services.map((name) => ({ name, healthPath: '/health' })),
    ...(accounts ? { tenants: accounts } : {}),
  };
}
