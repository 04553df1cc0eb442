/**
 * The small listeners for callers that ask where to connect, and for readiness checks.
 */
import type { Server } from 'node:http';

import type { DirectoryAnswer, DirectoryDialect, DirectoryQuestion } from '../dialect/index.js';
import { createJsonServer } from '../http/index.js';

export type DirectoryPorts = {
  readonly dialect: DirectoryDialect;
  /** Answers a question of the caller at an address. */
  readonly answer: (question: DirectoryQuestion, caller: string) => DirectoryAnswer;
};

export type ReadinessPorts = {
  readonly dialect: DirectoryDialect;
  readonly isReady: () => boolean;
};

const OK_STATUS = 200;
const NOT_READY_STATUS = 503;

/** Creates the listener that names the daemons to use. */
export function createDirectoryServer({ dialect, answer }: DirectoryPorts): Server {
  return createJsonServer({
    [dialect.directoryPath]: (query, caller) => {
      const found = answer(dialect.readDirectoryQuestion(query), caller);
      const status = found.endpoints.length > 0 ? OK_STATUS : NOT_READY_STATUS;
      return { status, body: dialect.buildDirectoryAnswer(found) };
    },
  });
}

/** Creates the listener for readiness checks. */
export function createReadinessServer({ dialect, isReady }: ReadinessPorts): Server {
  return createJsonServer({
    [dialect.readinessPath]: () => {
      const ready = isReady();
      return { status: ready ? OK_STATUS : NOT_READY_STATUS, body: { ready } };
    },
  });
}
