export type {Daemon} from './daemon.js';
export {loadSettings} from './load-settings.js';
export type {Settings} from './settings.js';
export {startDaemon} from './start-daemon.js';
