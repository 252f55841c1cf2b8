export {createLineLog} from './create-line-log.js';
export {createTally} from './create-tally.js';
export {formatLogLine} from './format-log-line.js';
export {listenAt} from './listen-at.js';
export type {LogFields} from './log-fields.js';
export {readSettings} from './read-settings.js';
export type {Tally} from './tally.js';
