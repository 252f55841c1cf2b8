export {answerTogether} from './answer-together.js';
export {callWhileStill} from './call-while-still.js';
export type {EngineOptions} from './engine-options.js';
export type {RunningRelay} from './running-relay.js';
export type {RunningStandIn} from './running-stand-in.js';
export {startEngine} from './start-engine.js';
export {startRelay} from './start-relay.js';
export {startService} from './start-service.js';
export {startStore} from './start-store.js';
