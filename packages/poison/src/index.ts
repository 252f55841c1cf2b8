export {createEndpointEnds} from './create-endpoint-ends.js';
export {createPoisonDetector} from './create-poison-detector.js';
export type {PoisonDetector} from './poison-detector.js';
export {suspicionsQuestionSchema} from './suspicions-question-schema.js';
export type {SuspicionsQuestion} from './suspicions-question.js';
export type {SuspicionsReply} from './suspicions-reply.js';
export {suspicionsReplySchema} from './suspicions-reply-schema.js';
