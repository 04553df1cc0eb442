export { AnswerSizes } from './answer-sizes.js';
export type { AnswerSize } from './answer-sizes.js';
export { computeDeliveryMs, judgeDownload } from './judge-download.js';
export type { DownloadState, DownloadVerdict } from './judge-download.js';
export { LinkSchedule } from './link-schedule.js';
export { isLargeBody, LARGE_BODY_BYTES, mayHoldBody } from './may-hold-body.js';
