/** How urgent a request is. */
export type Priority = 'quick' | 'normal' | 'slow';
