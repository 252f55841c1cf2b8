/** The holder that stands for hosts' lives that have ended. What they held stays spent. */
export const retiredHolder = 'retired';
