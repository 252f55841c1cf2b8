import type {Route} from '../../config/route.js';

/** Whether a request of a route may run more than once: repeatable ones, and streams that can be taken up again. Pure. */
export const isRetryable = ({kind, isResumable}: Route): boolean => kind === 'repeatable' || (kind === 'stream' && isResumable);
