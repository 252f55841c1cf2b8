export {createEndpointEnds} from './create-endpoint-ends.js';
export {createPoisonWatch} from './create-poison-watch.js';
export type {PoisonWatch} from './poison-watch.js';
export {suspicionsQuestionSchema} from './suspicions-question-schema.js';
export type {SuspicionsQuestion} from './suspicions-question.js';
export type {SuspicionsReply} from './suspicions-reply.js';
export {suspicionsReplySchema} from './suspicions-reply-schema.js';
