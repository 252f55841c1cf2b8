export {createLineLog} from './create-line-log.js';
export {createEventCounter} from './create-event-counter.js';
export {formatLogLine} from './format-log-line.js';
export {listenAt} from './listen-at.js';
export type {LogFields} from './log-fields.js';
export {probeAddress} from './probe-address.js';
export type {ProbeResult} from './probe-result.js';
export {readSettings} from './read-settings.js';
export type {EventCounter} from './event-counter.js';
