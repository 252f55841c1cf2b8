import type {Route} from '../../config/route.js';

/** Whether requests of a route may run more than once: they are repeatable, or their streams can be resumed. Pure. */
export const isRetryableRoute = ({kind, isResumable}: Route): boolean => kind === 'repeatable' || (kind === 'stream' && isResumable);
