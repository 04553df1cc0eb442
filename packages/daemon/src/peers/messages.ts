/**
 * Messages between daemons, checked on arrival.
 */
import {
  buildTolerantList,
  counterField,
  DOCUMENT_NAMES,
  ipAddressField,
  listenPortField,
  MAX_MEMBERS,
  memberSchema,
} from '@baobabline/core';
import * as z from 'zod';

const documentNameSchema = z.enum(DOCUMENT_NAMES);

const versionsSchema = z.array(z.object({ id: documentNameSchema, version: counterField }));

/** The regular exchange: who I am, news of members, and which publications I hold. */
export const exchangeSchema = z.object({
  from: memberSchema,
  updates: buildTolerantList(memberSchema, MAX_MEMBERS),
  versions: versionsSchema,
  /** Asks for all members, as a daemon does that has just started. */
  wantsAll: z.boolean(),
});

export const exchangeAnswerSchema = exchangeSchema.omit({ wantsAll: true });

export const probeSchema = z.object({ address: ipAddressField, port: listenPortField });

export const documentRequestSchema = z.object({ name: documentNameSchema });

const evidenceSchema = z.object({
  id: z.string(),
  service: z.string(),
  reporterId: z.string(),
  reporterDataCentre: z.string(),
  upstreamId: z.string(),
  score: z.number(),
  answeredRecently: z.boolean(),
});

const crashSchema = z.object({
  id: z.string(),
  fingerprint: z.string(),
  upstreamId: z.string(),
});

const loadSchema = z.object({
  service: z.string(),
  free: z.number(),
  waiting: z.number(),
});

/** What dispatchers of a service tell each other. */
export const reportSchema = z.object({
  reporterId: z.string(),
  evidence: z.array(evidenceSchema),
  crashes: z.array(crashSchema),
  loads: z.array(loadSchema),
});

export const loanRequestSchema = z.object({
  customer: z.string(),
  needed: z.number(),
  wanted: z.number(),
});

export type ExchangeMessage = Readonly<z.infer<typeof exchangeSchema>>;
export type ExchangeAnswer = Readonly<z.infer<typeof exchangeAnswerSchema>>;
export type ProbeRequest = Readonly<z.infer<typeof probeSchema>>;
export type DocumentRequest = Readonly<z.infer<typeof documentRequestSchema>>;
export type PeerReport = Readonly<z.infer<typeof reportSchema>>;
export type ServiceLoad = Readonly<z.infer<typeof loadSchema>>;
export type LoanRequest = Readonly<z.infer<typeof loanRequestSchema>>;

/** A document in transit: gzip in base64, empty if the peer has none. */
export type DocumentAnswer = { readonly compressed: string };
