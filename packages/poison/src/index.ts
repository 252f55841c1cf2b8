export type {SuspectedEndpoint} from './suspected-endpoint.js';
export {createCrashDetector} from './create-crash-detector.js';
export {createPoisonDetector} from './create-poison-detector.js';
export type {RequestSubjects} from './request-subjects.js';
export type {PoisonDetector} from './poison-detector.js';
export {suspicionsRequestSchema} from './suspicions-request-schema.js';
export type {SuspicionsRequest} from './suspicions-request.js';
export type {SuspicionsReply} from './suspicions-reply.js';
export {suspicionsReplySchema} from './suspicions-reply-schema.js';
