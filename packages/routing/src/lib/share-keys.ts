import type {QueuedRequest} from '../request-queue/queued-request.js';

/** Names the groups whose starts a request takes part in: `targets` are those of one priority, `organisations` those of one target in it. */
export const shareKeys = ({priority, target}: Pick<QueuedRequest, 'priority' | 'target'>) => ({targets: priority, organisations: `${priority}\n${target}`});
