# For zsh: source <(slatewind completion zsh)
_slatewind() {
    local -a found
    found=("${(@f)$(GO_FLAGS_COMPLETION=1 "${words[1]}" "${(@)words[2,$CURRENT]}")}")
    if (( ${#found[1]} )); then
        compadd -a found
    else
        _files
    fi
}
compdef _slatewind slatewind
