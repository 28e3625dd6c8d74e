# For fish: slatewind completion fish | source
function __slatewind_complete
    set -l words (commandline -opc) (commandline -ct)
    GO_FLAGS_COMPLETION=1 $words[1] $words[2..-1]
end
complete -c slatewind -a '(__slatewind_complete)'
