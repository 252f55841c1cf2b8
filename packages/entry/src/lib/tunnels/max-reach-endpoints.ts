/** The most endpoints that one question names, which bounds the connections that a peer opens for it. */
export const maxReachEndpoints = 4;
